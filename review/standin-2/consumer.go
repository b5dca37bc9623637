package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// consumer is the stand-in of a consumer, which keeps its channel to one front.
type consumer struct {
	platform *platform
	front    *machine
	key      string
	client   *http.Client
	sent     int
}

func newConsumer(p *platform, front *machine, key string) *consumer {
	return &consumer{platform: p, front: front, key: key, client: &http.Client{
		Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true},
	}}
}

// ask sends a request whose prompt has a shared part and a part of its own. It returns the ID of the attempt and the
// status, 0 without a complete answer.
func (c *consumer) ask(name, shared string) (id string, status int) {
	c.sent++
	id = fmt.Sprintf("%s-%s-%s-%d", name, c.front.name, c.key, c.sent)
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/llm/a", c.front.ip, frontPort), strings.NewReader("prompt"))
	if err != nil {
		return id, 0
	}
	r.Host = "a.example"
	for name, value := range map[string]string{
		"Try-Id": id, "Model": "m0", "Token-Count": "1000,40", "Prefix-Hash": shared + ":800," + id + ":200", "Deadline-Ms": "10000", "Authorization": "Token " + c.key,
	} {
		r.Header.Set(name, value)
	}
	response, err := c.client.Do(r)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		status = response.StatusCode
		if _, err = io.ReadAll(response.Body); err != nil {
			status = 0
		}
	}
	c.platform.record.note("consumer: request %s at %s with key %s answered %d", id, c.front.name, c.key, status)
	return id, status
}

// askUntilServed repeats a request until it is served or the time is over.
func (c *consumer) askUntilServed(name, shared string, within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		if _, status := c.ask(name, shared); status == http.StatusOK {
			return true
		}
	}
	return false
}
