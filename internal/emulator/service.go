package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// crashDelay is the time for which a request runs that crashes an order service.
const crashDelay = 80 * time.Millisecond

// serveOrder serves the order service on all paths: a POST request runs an order, and
// any other request returns how often the order named by the last path segment ran.
func (u *Upstream) serveOrder(w http.ResponseWriter, r *http.Request) {
	attempt := u.startAttempt(r.Header.Get("Comfreybend-Attempt"))
	defer u.finishAttempt(attempt, false)
	if u.config.CrashOnText != "" && strings.Contains(r.URL.Path, u.config.CrashOnText) {
		time.Sleep(crashDelay)
		u.crashOnce.Do(func() { close(u.crash) })
		<-r.Context().Done()
		return
	}
	w.Header().Set("Comfreybend-Attempt", r.Header.Get("Comfreybend-Attempt"))
	if r.Method == http.MethodPost {
		u.runOrder(w, r)
		return
	}
	if u.refuseFirst(w, r, r.URL.Path) {
		return
	}
	reference := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	u.mu.Lock()
	runs := u.stats.Orders[reference]
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"reference":%q,"runs":%d}`+"\n", reference, runs)
}

func (u *Upstream) runOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Reference string `json:"reference"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Reference == "" {
		http.Error(w, "reference is missing", http.StatusBadRequest)
		return
	}
	if u.refuseFirst(w, r, order.Reference) {
		return
	}
	u.mu.Lock()
	u.stats.Orders[order.Reference]++
	runs := u.stats.Orders[order.Reference]
	faults := u.faults
	u.mu.Unlock()
	if faults.DelayMillis > 0 {
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	}
	body := fmt.Sprintf(`{"reference":%q,"runs":%d}`+"\n", order.Reference, runs)
	w.Header().Set("Content-Type", "application/json")
	if faults.CutBody {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write([]byte(body[:len(body)/2]))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(body))
}
