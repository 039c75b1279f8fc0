package integration

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
)

// curlLine matches the command line that "comfreybend try" prints.
var curlLine = regexp.MustCompile(`(?m)^curl -N (http://\S+) -H 'Authorization: (Bearer \S+)' -H 'Content-Type: application/json' -d '([^']+)'$`)

// TestTry guards against a quick start in the README that does not work. It runs
// "comfreybend try" and sends the request of the printed command line.
func TestTry(t *testing.T) {
	p := startProcess(t, "try", "try", "--listen", freeAddress(t))
	var found [][]string
	eventually(t, waitTimeout, func() error {
		if found = curlLine.FindAllStringSubmatch(string(p.log()), -1); len(found) != 1 {
			return fmt.Errorf("%d matching curl command lines in the output", len(found))
		}
		return nil
	})
	request, err := http.NewRequest(http.MethodPost, found[0][1], strings.NewReader(found[0][3]))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", found[0][2])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || !strings.HasSuffix(strings.TrimSpace(string(body)), "data: [DONE]") {
		t.Errorf("status %s, error %v, body %s", response.Status, err, body)
	}
	p.terminate()
}
