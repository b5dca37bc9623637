package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// operator is the stand-in of the users' operator. It calls any of the machines that serve control, and goes on to
// another one after a failure, a 5xx, 408 or 429, or a second without an answer.
type operator struct {
	platform *platform
	client   *http.Client
}

func newOperator(p *platform) *operator {
	return &operator{platform: p, client: &http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}}
}

// callOnce calls one machine and returns the status, 0 without an answer.
func (o *operator) callOnce(address, method, path string, body []byte) (status int, answer []byte) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := o.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// call repeats a call, to any machine of the operator's list, until it gets a clear answer or the time is over. It
// returns the last status.
func (o *operator) call(method, path string, body []byte, within time.Duration) (status int, answer []byte) {
	start := time.Now()
	pause := 50 * time.Millisecond
	for tries := 1; ; tries++ {
		addresses := o.platform.operatorList()
		address := addresses[rand.IntN(len(addresses))]
		status, answer = o.callOnce(address, method, path, body)
		clear := status >= 200 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
		if clear || time.Since(start) > within {
			o.platform.record.note("operator: %s %s answered %d after %v and %d tries", method, path, status, time.Since(start).Round(time.Millisecond), tries)
			return status, answer
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
}

// Tenants of configurations.
const (
	tenantOne         = `{"name":"t1","api_keys":["key-one"],"priority":1}`
	tenantOneIsolated = `{"name":"t1","api_keys":["key-one"],"priority":1,"isolated":true}`
	tenantTwo         = `{"name":"t2","api_keys":["key-two"],"priority":1}`
)

// configuration returns a configuration with a version and the usual tenants.
func configuration(version int) []byte { return configurationFor(version, tenantOne, tenantTwo) }

// configurationFor returns a configuration with a version and tenants.
func configurationFor(version int, tenants ...string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[`+
		`{"name":"r1","host":"a.example","path_prefix":"/app/","kind":"non_idempotent","timeout_ms":1500,"slo_ms":150,"priority":1,"service":"app","attempts":1,"public":false,"sticky":false,"can_resume":false},`+
		`{"name":"r2","host":"a.example","path_prefix":"/llm/","kind":"stream","timeout_ms":10000,"slo_ms":1500,"priority":1,"service":"llm","attempts":2,"public":false,"sticky":true,"can_resume":true,"itl_slo_ms":800}],`+
		`"services":[{"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false,"cold_s":0,"cold_per_s":0},`+
		`{"name":"llm","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"cold_s":0,"cold_per_s":0,"engine":{"slots":64,"kv_tokens":93628,"kv_token_bytes":18432,"link_mbps":740000.0,"moves":true,"backups":true,"managed":true,"stride":8,"max_inflight":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m0"}]}}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[%s]}`, version, strings.Join(tenants, ","))
}
