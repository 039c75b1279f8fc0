package emulator

import (
	"bytes"
	"io"
	"net/http"
)

// recorder keeps a response.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(data []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(data)
}

// Flush implements http.Flusher.
func (*recorder) Flush() {}

// bytes returns the response as it is sent.
func (r *recorder) bytes() []byte {
	r.WriteHeader(http.StatusOK)
	var out bytes.Buffer
	response := &http.Response{
		StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: r.header,
		Body: io.NopCloser(&r.body), ContentLength: int64(r.body.Len()),
	}
	// A bytes.Buffer takes everything.
	_ = response.Write(&out)
	return out.Bytes()
}

// serveCopies serves all requests on a connection from the given one on, and sends copies of the
// responses as the faults say.
func (u *Upstream) serveCopies(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	ctx := r.Context()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := buffer.Reader
	var due []byte
	for {
		r.Body = io.NopCloser(bytes.NewReader(body))
		response := &recorder{header: http.Header{}}
		handler.ServeHTTP(response, r)
		faults := u.currentFaults()
		answer := response.bytes()
		copies := bytes.Repeat(answer, faults.AnswerCopies)
		if faults.EarlyCopies {
			answer = append(answer, copies...)
		} else {
			answer, due = append(due, answer...), copies
		}
		if _, err = conn.Write(answer); err != nil {
			return
		}
		next, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if body, err = io.ReadAll(next.Body); err != nil {
			return
		}
		r = next.WithContext(ctx)
	}
}

// refuseFirst refuses the first request for each order or path, and reports whether it did.
func (u *Upstream) refuseFirst(w http.ResponseWriter, r *http.Request, reference string) bool {
	u.mu.Lock()
	status := u.faults.RefuseFirst
	refuse := status != 0 && !u.refused[reference]
	if refuse {
		u.refused[reference] = true
	}
	withBody := u.faults.RefusalBodies
	u.mu.Unlock()
	if !refuse {
		return false
	}
	w.Header().Set("Comfreybend-Attempt", r.Header.Get("Comfreybend-Attempt"))
	if withBody {
		http.Error(w, "no room", status)
		return true
	}
	w.WriteHeader(status)
	return true
}
