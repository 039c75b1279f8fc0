package generator

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreybend/comfreybend/schema/experiment"
)

const (
	lowestMicros   = 1
	highestMicros  = int64(time.Hour / time.Microsecond)
	digits         = 3
	readBuffer     = 16 << 10
	microsInMillis = 1000
	headerRun      = "Comfreybend-Run"
	notRun         = "notRun"
)

var (
	dataField  = []byte("data: ")
	deltaField = []byte(`"delta"`)
	doneLine   = []byte("data: [DONE]")
)

type (
	// recorder collects the outcomes of one stream.
	recorder struct {
		stream *experiment.Stream

		mu      sync.Mutex
		result  *experiment.StreamReport
		first   *hdrhistogram.Histogram
		between *hdrhistogram.Histogram
		whole   *hdrhistogram.Histogram
	}

	// outcome is what one request came to.
	outcome struct {
		status   int
		notRun   bool
		complete bool
		tokens   int
		first    time.Duration
		whole    time.Duration
		between  []time.Duration
	}
)

func newRecorder(s *experiment.Stream) *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return &recorder{
		stream:  s,
		result:  &experiment.StreamReport{Name: s.GetName()},
		first:   histogram(),
		between: histogram(),
		whole:   histogram(),
	}
}

// record sends one request that belongs to a second of the run and notes its outcome.
func (r *recorder) record(second int, client *http.Client, request *http.Request) {
	o := perform(client, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.SentBySecond = count(r.result.SentBySecond, second)
	r.result.Sent++
	r.result.Tokens += uint64(o.tokens)
	switch {
	case o.complete:
		r.answered(second, o)
	case o.notRun:
		r.result.NotRun++
	default:
		r.result.Failed++
	}
}

func (r *recorder) answered(second int, o outcome) {
	r.result.AnsweredBySecond = count(r.result.AnsweredBySecond, second)
	r.result.Answered++
	if r.attained(o) {
		r.result.Attained++
		r.result.GoodTokens += uint64(o.tokens)
	}
	_ = r.first.RecordValue(o.first.Microseconds())
	_ = r.whole.RecordValue(o.whole.Microseconds())
	for _, d := range o.between {
		_ = r.between.RecordValue(d.Microseconds())
	}
}

func (r *recorder) attained(o outcome) bool {
	first := r.stream.GetTargetFirstToken().AsDuration()
	whole := r.stream.GetTargetWholeAnswer().AsDuration()
	return (first == 0 || o.first <= first) && (whole == 0 || o.whole <= whole)
}

func (r *recorder) report() *experiment.StreamReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.FirstToken = quantiles(r.first)
	r.result.BetweenTokens = quantiles(r.between)
	r.result.WholeAnswer = quantiles(r.whole)
	return r.result
}

func quantiles(h *hdrhistogram.Histogram) *experiment.Quantiles {
	at := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / microsInMillis }
	return &experiment.Quantiles{P50: at(50), P95: at(95), P99: at(99), Maximum: at(100)}
}

func count(bySecond []uint32, second int) []uint32 {
	for len(bySecond) <= second {
		bySecond = append(bySecond, 0)
	}
	bySecond[second]++
	return bySecond
}

// perform sends a request and reads its answer to the end.
func perform(client *http.Client, request *http.Request) outcome {
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return outcome{}
	}
	defer func() { _ = response.Body.Close() }()
	o := outcome{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		o.notRun = response.Header.Get(headerRun) == notRun
		_, _ = io.Copy(io.Discard, response.Body)
		return o
	}
	o.readEvents(begun, response.Body)
	o.whole = time.Since(begun)
	return o
}

func (o *outcome) readEvents(begun time.Time, body io.Reader) {
	reader := bufio.NewReaderSize(body, readBuffer)
	last := begun
	done := false
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			o.complete = done && err == io.EOF
			return
		}
		switch {
		case bytes.HasPrefix(line, doneLine):
			done = true
		case bytes.HasPrefix(line, dataField) && bytes.Contains(line, deltaField):
			now := time.Now()
			if o.tokens == 0 {
				o.first = now.Sub(begun)
			} else {
				o.between = append(o.between, now.Sub(last))
			}
			last = now
			o.tokens++
		}
	}
}
