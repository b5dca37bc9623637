package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// run is a request that a replica has run.
type run struct {
	at                time.Time
	id, tenant, scope string
	// usedOf holds the tenants whose requests made the cached parts that the run used.
	usedOf []string
}

// serveStream runs a request: it uses the parts of the prompt that are cached under the scope of the request, stores
// the others, and answers with a stream.
func (r *replica) serveStream(w http.ResponseWriter, request *http.Request) {
	h := request.Header
	id := h.Get("Try-Id")
	if r.misdirected(w, request) {
		return
	}
	result := run{at: time.Now(), id: id, tenant: h.Get("Tenant"), scope: h.Get("Cache-Salt")}
	r.mu.Lock()
	found := true
	for part := range strings.SplitSeq(h.Get("Prefix-Hash"), ",") {
		key := result.scope + "\x00" + strings.TrimSpace(part)
		maker, cached := r.cached[key]
		if found = found && cached; found {
			result.usedOf = append(result.usedOf, maker)
			continue
		}
		r.cached[key] = result.tenant
	}
	r.runs = append(r.runs, result)
	version := r.version
	r.mu.Unlock()
	r.platform.record.note("replica %s: ran %s of tenant %s under scope %q, used parts made by requests of %v", r.id, id, result.tenant, result.scope, result.usedOf)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Try-Id", id)
	w.Header().Set("Server-Seal", "seal-"+id)
	w.Header().Set("Weight-Versions", fmt.Sprint(version))
	for n := 1; n <= 3; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n)
		w.(http.Flusher).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// ran returns the run of a request, and whether there is one.
func (r *replica) ran(id string) (run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.runs {
		if one.id == id {
			return one, true
		}
	}
	return run{}, false
}
