package bluebellchaos

import (
	"context"
	"fmt"
	"net"
	"time"

	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// heldTime is how long the network holds an order, which is much longer than its sender waits.
	heldTime = 4 * time.Second
	// promptAnswer bounds the time in which an order that was not held is answered in calm.
	promptAnswer = 400 * time.Millisecond
	// heldWatch is how long endpoints are watched after a held order has arrived.
	heldWatch = 2 * time.Second
)

// HeldOrder describes how an order arrives that the network has held.
type HeldOrder struct {
	Name string
	// connects is set if the connection, too, is opened only when the order arrives.
	connects bool
	// used is set if the connection has carried a call before.
	used bool
	// closesAfter is how long behind the order the end of its sender's connection arrives.
	closesAfter time.Duration
}

// HeldOrders lists the ways.
var HeldOrders = []HeldOrder{
	{Name: "close right behind", closesAfter: time.Millisecond},
	{Name: "close a little behind", closesAfter: 5 * time.Millisecond},
	{Name: "close never", closesAfter: heldWatch},
	{Name: "connection used before", used: true, closesAfter: heldWatch},
	{Name: "connection opened late, close right behind", connects: true, closesAfter: time.Millisecond},
	{Name: "connection opened late, close a little behind", connects: true, closesAfter: 5 * time.Millisecond},
}

// RunHeldOrder takes a failure domain out of service, lets an older order arrive that puts it in, and whose sender
// has given it up, and watches whether that takes effect. Each core process gets such an order in turn. It returns
// the violations.
func RunHeldOrder(ctx context.Context, cfg Config, held HeldOrder) (findings []string, err error) {
	d := newDeployment(cfg)
	err = d.whileServing(ctx, func(*backend) error { return nil }, func(ctx context.Context) {
		d.whileCalling(ctx, minCallers, func(context.Context) {
			for n := range d.controlAddresses {
				if err := d.deliverHeld(n, held); err != nil {
					d.findings = append(d.findings, err.Error())
				}
			}
		})
	})
	return d.findings, err
}

// deliverHeld lets a held order arrive at core process n behind a newer one that another has acknowledged.
func (d *deployment) deliverHeld(n int, held HeldOrder) error {
	var conn net.Conn
	var err error
	if !held.connects {
		if conn, err = d.openControl(n, held.used); err != nil {
			return err
		}
	}
	other := d.controlAddresses[(n+1)%len(d.controlAddresses)]
	for _, verb := range []bluebellplatform.Verb{bluebellplatform.DomainOut, bluebellplatform.DomainIn, bluebellplatform.DomainOut} {
		if err := d.orderPromptly(other, verb); err != nil {
			return err
		}
	}
	time.Sleep(heldTime)
	from := time.Now()
	if conn == nil {
		if conn, err = d.openControl(n, false); err != nil {
			return err
		}
	}
	defer func() { _ = conn.Close() }()
	method, path, err := bluebellplatform.EncodeOperation(bluebellplatform.Operation{Verb: bluebellplatform.DomainIn, Subject: failureDomain(outDomain)})
	if err != nil {
		return err
	}
	// An error means that the connection was closed, so that the order cannot arrive.
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", method, path)
	time.Sleep(held.closesAfter)
	_ = conn.Close()
	time.Sleep(time.Until(from.Add(heldWatch)))
	d.checkOut(from)
	return nil
}

// openControl opens a connection to the control interface of core process n, and makes a call on it if it is to be
// used.
func (d *deployment) openControl(n int, used bool) (net.Conn, error) {
	conn, err := net.Dial("tcp", d.controlAddresses[n])
	if err != nil || !used {
		return conn, err
	}
	method, path, err := bluebellplatform.EncodeOperation(bluebellplatform.Operation{Verb: bluebellplatform.Leave, Subject: "i-unknown"})
	if err != nil {
		return nil, err
	}
	body, err := bluebellplatform.EncodeLeave(1)
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body); err != nil {
		return nil, err
	}
	answer := make([]byte, bufferBytes)
	_, err = conn.Read(answer)
	return conn, err
}

// orderPromptly sends an order for outDomain and adds a finding if its answer is slow.
func (d *deployment) orderPromptly(address string, verb bluebellplatform.Verb) error {
	began := time.Now()
	if err := d.operator.require(address, bluebellplatform.Operation{Verb: verb, Subject: failureDomain(outDomain)}, nil); err != nil {
		return err
	}
	if took := time.Since(began); took > promptAnswer {
		d.findings = append(d.findings, fmt.Sprintf("%v was answered after %v", verb, took))
	}
	return nil
}
