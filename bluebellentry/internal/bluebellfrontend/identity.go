package bluebellfrontend

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// maxHopAge bounds the age of a signed hop and the difference between the clocks of two VMs.
const maxHopAge = 30 * time.Second

const bearerPrefix = "Bearer "

// keyHash returns the hash under which the configuration declares the key of an
// Authorization header, or "" if the header has no key.
func keyHash(authorization string) string {
	key, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok || key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// directory indexes the customers, kinds of work and operators of one configuration.
type directory struct {
	configuration   *pb.Configuration
	customersByHash map[string]*pb.Customer
	customersByName map[string]*pb.Customer
	workByTarget    map[string][]*pb.Work
	// operators holds the names of operators by the hash of their key.
	operators map[string]string
}

// newDirectory returns the directory of a configuration. The bootstrapOperators apply if
// there is no configuration yet.
func newDirectory(c *pb.Configuration, bootstrapOperators []*pb.Operator) *directory {
	d := &directory{
		configuration:   c,
		customersByHash: map[string]*pb.Customer{}, customersByName: map[string]*pb.Customer{},
		workByTarget: map[string][]*pb.Work{}, operators: map[string]string{},
	}
	for _, u := range c.GetCustomers() {
		d.customersByHash[u.KeyHash] = u
		d.customersByName[u.Name] = u
	}
	for _, w := range c.GetWork() {
		d.workByTarget[w.Target] = append(d.workByTarget[w.Target], w)
	}
	operators := c.GetOperators()
	if c == nil {
		operators = bootstrapOperators
	}
	for _, o := range operators {
		d.operators[o.KeyHash] = o.Name
	}
	return d
}

// work returns the target's kind of work of a given name. For an empty name it returns the
// first one, or nil if the target declares none.
func (d *directory) work(target, name string) (*pb.Work, error) {
	all := d.workByTarget[target]
	for _, w := range all {
		if w.Name == name || name == "" {
			return w, nil
		}
	}
	if name == "" {
		return nil, nil
	}
	return nil, fmt.Errorf("work %q is not declared for target %q", name, target)
}

// SignHop returns the header values by which another VM verifies a hop: the encoded hop, and
// its signature, which covers the body too.
func SignHop(secret []byte, hop *pb.Hop, body []byte) (value, signature string, err error) {
	raw, err := proto.Marshal(hop)
	if err != nil {
		return "", "", fmt.Errorf("hop: %w", err)
	}
	return base64.StdEncoding.EncodeToString(raw), hex.EncodeToString(hopMAC(secret, raw, body)), nil
}

// verifyHop decodes a hop. It returns an error if the signature is invalid or the hop was
// made more than maxHopAge before or after now.
func verifyHop(secret []byte, value, signature string, body []byte, now time.Time) (*pb.Hop, error) {
	raw, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return nil, fmt.Errorf("hop: %w", err)
	}
	got, err := hex.DecodeString(signature)
	if err != nil || !hmac.Equal(got, hopMAC(secret, raw, body)) {
		return nil, errors.New("hop: the signature does not hold")
	}
	var hop pb.Hop
	if err := proto.Unmarshal(raw, &hop); err != nil {
		return nil, fmt.Errorf("hop: %w", err)
	}
	if age := now.Sub(time.Unix(0, hop.UnixNanos)); age > maxHopAge || age < -maxHopAge {
		return nil, fmt.Errorf("hop: made %v ago by its sender's clock", age)
	}
	return &hop, nil
}

// hopMAC returns the signature of an encoded hop and the body of its call.
func hopMAC(secret, hop, body []byte) []byte {
	sum := sha256.Sum256(body)
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("hop"))
	mac.Write(hop)
	mac.Write(sum[:])
	return mac.Sum(nil)
}
