package dispatch

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unicode/utf8"

	"oxbowdeck/internal/queue"
)

// kind of what came of an attempt, as the worker's health has it.
type kind uint8

const (
	answered kind = iota // an answer of its own
	refused              // it turned the attempt away, and lives
	silent               // no connection, no answer, or one cut short
)

// Result is what came of an attempt.
type Result struct {
	outcome   queue.Outcome
	kind      kind
	failed    bool // an answer that counts against the worker
	seal      string
	load      workerLoad
	mayRunFor time.Duration // of Lost: it may run on for so long
	status    int
	err       error
}

// workerLoad is what a worker told of its load; no slots: nothing.
type workerLoad struct {
	running int
	waiting int
	slots   int
}

// final tells whether the message must not be sent again.
func (r *Result) final() bool { return final(r.outcome) }

// maxAnswerBytes is the largest body of an answer that is read; with its head, and
// what comes before it, it is at most twice that.
const maxAnswerBytes = 256 << 10

// errSpoiledSeal tells that the seal of a success is no text, so that it can't be told which
// run succeeded.
var errSpoiledSeal = errors.New("the seal of a success is not UTF-8")

// judge tells what a whole answer that names the message means. The run it answers
// is over, whatever it says.
func judge(response *http.Response) Result {
	result := Result{
		status: response.StatusCode,
		load:   readLoad(response.Header.Get("X-Server-Load")),
	}
	seal := response.Header.Get("X-Server-Seal")
	switch {
	case response.Header.Get("X-Not-Executed") != "" || result.status == http.StatusMisdirectedRequest:
		result.outcome = queue.NotRun
		result.kind = refused
	case result.status >= 200 && result.status < 300 && !utf8.ValidString(seal):
		result.outcome = queue.Lost
		result.failed = true
		result.err = errSpoiledSeal
	case result.status >= 200 && result.status < 300 && seal != "":
		result.outcome = queue.Done
		result.seal = seal
	case result.status == http.StatusUnprocessableEntity:
		result.outcome = queue.Never
	case result.status == http.StatusInternalServerError:
		result.outcome = queue.Failed
		result.failed = true
	default:
		result.outcome = queue.Lost
		result.failed = true
	}
	return result
}

// readLoad reads what a worker tells of its load: running, waiting, slots.
func readLoad(header string) workerLoad {
	var load workerLoad
	parts := strings.Split(header, ",")
	if len(parts) == 3 {
		load.running, _ = strconv.Atoi(strings.TrimSpace(parts[0]))
		load.waiting, _ = strconv.Atoi(strings.TrimSpace(parts[1]))
		load.slots, _ = strconv.Atoi(strings.TrimSpace(parts[2]))
	}
	return load
}

// isReset tells whether the other end closed or reset the connection.
func isReset(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
