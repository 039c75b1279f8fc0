package generator

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreybend/comfreybend/schema/experiment"
)

const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	readBuffer        = 16 << 10
	microsPerMilli    = 1000
	headerRun         = "Comfreybend-Run"
	headerAttempt     = "Comfreybend-Attempt"
	headerResumes     = "Comfreybend-Resumes"
	headerLastEventID = "Last-Event-ID"
	notRun            = "notRun"
)

var (
	dataField  = []byte("data: ")
	deltaField = []byte(`"delta"`)
	idField    = []byte("id: ")
	doneLine   = []byte("data: [DONE]")
	// tokenPattern matches a token of an emulated engine: a number and the engine's version.
	tokenPattern = regexp.MustCompile(`"token\d+([^" ]*) "`)
)

type (
	// recorder aggregates the outcomes of one request stream of a plan.
	recorder struct {
		stream *experiment.Stream

		mu            sync.Mutex
		result        *experiment.StreamReport
		firstToken    *hdrhistogram.Histogram
		betweenTokens *hdrhistogram.Histogram
		wholeAnswer   *hdrhistogram.Histogram
	}

	// outcome is the result of one request, with those that take up its response.
	outcome struct {
		status   int
		notRun   bool
		complete bool
		tokens   int
		// attempt is the one that brought the first event, lastEvent the number of the last one.
		attempt   string
		lastEvent int
		// version is that of the first token of an emulated engine.
		version string
		// joined reports that a later token has another one, or that an event is missing or comes twice.
		joined          bool
		takenUp, wentOn int
		firstToken      time.Duration
		wholeAnswer     time.Duration
		betweenTokens   []time.Duration
	}
)

func newRecorder(s *experiment.Stream) *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &recorder{
		stream:        s,
		result:        &experiment.StreamReport{Name: s.GetName()},
		firstToken:    histogram(),
		betweenTokens: histogram(),
		wholeAnswer:   histogram(),
	}
}

// sendAndRecord sends a request that starts in the given second of the run and records
// its outcome. again returns the requests that take it up.
func (r *recorder) sendAndRecord(second int, client *http.Client, request *http.Request, again func() (*http.Request, error)) {
	o := perform(client, request)
	for !o.complete && o.lastEvent > 0 && o.takenUp < int(r.stream.GetTakeUps()) {
		next, err := again()
		if err != nil {
			break
		}
		o.takeUp(client, next)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.TakenUp += uint32(o.takenUp)
	r.result.WentOn += uint32(o.wentOn)
	if o.joined {
		r.result.Joined++
	}
	r.result.SentBySecond = incrementSecond(r.result.SentBySecond, second)
	r.result.Sent++
	r.result.Tokens += uint64(o.tokens)
	switch {
	case o.complete:
		r.recordAnswer(second, o)
	case o.notRun:
		r.result.NotRun++
	default:
		r.result.Failed++
	}
}

func (r *recorder) recordAnswer(second int, o outcome) {
	r.result.AnsweredBySecond = incrementSecond(r.result.AnsweredBySecond, second)
	r.result.Answered++
	if r.meetsTargets(o) {
		r.result.Attained++
		r.result.GoodTokens += uint64(o.tokens)
	}
	_ = r.firstToken.RecordValue(o.firstToken.Microseconds())
	_ = r.wholeAnswer.RecordValue(o.wholeAnswer.Microseconds())
	for _, d := range o.betweenTokens {
		_ = r.betweenTokens.RecordValue(d.Microseconds())
	}
}

// meetsTargets reports whether a response meets the targets for the first token and the
// whole response, if set.
func (r *recorder) meetsTargets(o outcome) bool {
	first := r.stream.GetTargetFirstToken().AsDuration()
	whole := r.stream.GetTargetWholeAnswer().AsDuration()
	return (first == 0 || o.firstToken <= first) && (whole == 0 || o.wholeAnswer <= whole)
}

func (r *recorder) report() *experiment.StreamReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.FirstToken = quantiles(r.firstToken)
	r.result.BetweenTokens = quantiles(r.betweenTokens)
	r.result.WholeAnswer = quantiles(r.wholeAnswer)
	return r.result
}

// quantiles returns the quantiles of a histogram of microseconds in milliseconds.
func quantiles(h *hdrhistogram.Histogram) *experiment.Quantiles {
	at := func(percentile float64) float64 { return float64(h.ValueAtQuantile(percentile)) / microsPerMilli }
	return &experiment.Quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Maximum: at(100)}
}

// incrementSecond adds one to the count of a second and extends the slice if necessary.
func incrementSecond(bySecond []uint32, second int) []uint32 {
	for len(bySecond) <= second {
		bySecond = append(bySecond, 0)
	}
	bySecond[second]++
	return bySecond
}

// perform sends a request and reads the response to the end.
func perform(client *http.Client, request *http.Request) outcome {
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return outcome{}
	}
	defer func() { _ = response.Body.Close() }()
	o := outcome{status: response.StatusCode, attempt: response.Header.Get(headerAttempt)}
	if response.StatusCode != http.StatusOK {
		o.notRun = response.Header.Get(headerRun) == notRun
		_, _ = io.Copy(io.Discard, response.Body)
		return o
	}
	o.readEvents(start, response.Body)
	o.wholeAnswer = time.Since(start)
	return o
}

// takeUp sends a request that takes up the response where it broke, and reads on.
func (o *outcome) takeUp(client *http.Client, request *http.Request) {
	o.takenUp++
	request.Header.Set(headerLastEventID, strconv.Itoa(o.lastEvent))
	request.Header.Set(headerResumes, o.attempt)
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return
	}
	o.wentOn++
	o.readEvents(start, response.Body)
	o.wholeAnswer += time.Since(start)
}

// checkLine checks that an event follows the one before, and that a token is of the first one's
// version.
func (o *outcome) checkLine(line []byte) {
	if number, found := bytes.CutPrefix(line, idField); found {
		id, _ := strconv.Atoi(string(bytes.TrimSpace(number)))
		o.joined = o.joined || id != o.lastEvent+1
		o.lastEvent = id
	}
	token := tokenPattern.FindSubmatch(line)
	switch {
	case token == nil:
	case o.tokens == 0:
		o.version = string(token[1])
	default:
		o.joined = o.joined || string(token[1]) != o.version
	}
}

// readEvents reads the events of an event stream and records its token times. The
// outcome is complete if the event stream has the end marker and ends normally.
func (o *outcome) readEvents(start time.Time, body io.Reader) {
	reader := bufio.NewReaderSize(body, readBuffer)
	last := start
	done := false
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			o.complete = done && err == io.EOF
			return
		}
		o.checkLine(line)
		switch {
		case bytes.HasPrefix(line, doneLine):
			done = true
		case bytes.HasPrefix(line, dataField) && bytes.Contains(line, deltaField):
			now := time.Now()
			if o.tokens == 0 {
				o.firstToken = now.Sub(start)
			} else {
				o.betweenTokens = append(o.betweenTokens, now.Sub(last))
			}
			last = now
			o.tokens++
		}
	}
}
