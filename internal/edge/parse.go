package edge

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"

	"oxbowdeck/internal/ids"
)

// Words a client sends.
const (
	verbAttach      = "ATTACH"
	verbSubscribe   = "SUBSCRIBE"
	verbUnsubscribe = "UNSUB"
	verbPublish     = "PUBLISH"
	verbCensus      = "CENSUS"
	verbKeepalive   = "KEEPALIVE"
)

// Causes of a REJECT.
const (
	causeRetry     = "RETRY"
	causeUnknown   = "UNKNOWN"
	causeNoSpace   = "NOSPACE"
	causeTooLarge  = "TOOLARGE"
	causeMalformed = "MALFORMED"
	causeExpired   = "EXPIRED"
	causeNoAuth    = "NOAUTH"
)

// Bounds of the protocol's grammar.
const (
	maxLine  = 1024
	maxName  = 256
	maxBody  = 16 << 10
	minBody  = 20
	maxSkip  = 256 << 10 // a longer body is not read past: the connection ends
	maxField = 64
)

// request is one message of a client.
type request struct {
	verb  string
	topic ids.Topic
	arg   string // client id, or cursor
	key   string // of a tenant
	seq   ids.Seq
	body  []byte
	cause string // why it can't be taken; empty if it can
	fatal bool   // the stream can't be read on after it
}

var errLine = errors.New("line too long or not closed by CRLF")

// readLine reads one CRLF line.
func readLine(r *bufio.Reader) (string, error) {
	b, err := r.ReadSlice('\n')
	if err == bufio.ErrBufferFull || err == nil && (len(b) < 2 || b[len(b)-2] != '\r' || len(b) > maxLine) {
		return "", errLine
	}
	if err != nil {
		return "", err
	}
	return string(b[:len(b)-2]), nil
}

func printable(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func invalid(w request, cause string, fatal bool) (request, error) {
	w.cause, w.fatal = cause, fatal
	return w, nil
}

// readRequest takes one message. An error means the connection ended; a word with a
// cause is answered with it.
func readRequest(r *bufio.Reader) (request, error) {
	l, err := readLine(r)
	if err == errLine {
		return invalid(request{verb: "-"}, causeMalformed, true)
	}
	if err != nil {
		return request{}, err
	}
	f := strings.Split(l, " ")
	w := request{verb: f[0]}
	for i := range f {
		if f[i] == "" || len(f[i]) > maxName || !printable(f[i]) {
			if !printable(w.verb) || w.verb == "" {
				w.verb = "-"
			}
			return invalid(w, causeMalformed, w.verb == verbPublish)
		}
	}
	field := func(i int) string {
		if i < len(f) && f[i] != "-" {
			return f[i]
		}
		return ""
	}
	switch w.verb {
	case verbAttach:
		w.arg, w.key = field(1), field(2)
		if len(f) < 2 || len(f) > 3 || w.arg == "" || len(w.arg) > maxField {
			return invalid(w, causeMalformed, false)
		}
	case verbSubscribe:
		w.topic, w.arg = ids.Topic(field(1)), field(2)
		if len(f) < 2 || len(f) > 3 || w.topic == "" {
			return invalid(w, causeMalformed, false)
		}
	case verbUnsubscribe, verbCensus:
		w.topic = ids.Topic(field(1))
		if len(f) != 2 || w.topic == "" {
			return invalid(w, causeMalformed, false)
		}
	case verbPublish:
		return readPublish(r, w, f)
	case verbKeepalive:
		if len(f) != 1 {
			return invalid(w, causeMalformed, false)
		}
	default:
		w.verb = w.verb[:min(len(w.verb), 32)]
		return invalid(w, causeMalformed, false)
	}
	return w, nil
}

func readPublish(r *bufio.Reader, w request, f []string) (request, error) {
	if len(f) != 4 {
		return invalid(w, causeMalformed, true) // where the body ends is not known
	}
	n, err := strconv.ParseUint(f[3], 10, 31)
	if err != nil {
		return invalid(w, causeMalformed, true)
	}
	seq, serr := strconv.ParseUint(f[2], 10, 63)
	w.topic, w.seq = ids.Topic(f[1]), ids.Seq(seq)
	if n > maxBody {
		if n > maxSkip {
			return invalid(w, causeTooLarge, true)
		}
		if _, err := r.Discard(int(n) + 2); err != nil {
			return w, err
		}
		return invalid(w, causeTooLarge, false)
	}
	body := make([]byte, n+2)
	if _, err := io.ReadFull(r, body); err != nil {
		return w, err
	}
	if body[n] != '\r' || body[n+1] != '\n' {
		return invalid(w, causeMalformed, true)
	}
	w.body = body[:n]
	if serr != nil || seq == 0 || w.topic == "-" || n < minBody {
		return invalid(w, causeMalformed, false)
	}
	for _, c := range w.body {
		if c < ' ' || c > '~' {
			return invalid(w, causeMalformed, false)
		}
	}
	return w, nil
}

// reject writes a REJECT line, leaving off empty fields at the end.
func reject(b []byte, verb string, topic ids.Topic, seq ids.Seq, cause string) []byte {
	b = append(append(b, "REJECT "...), verb...)
	b = append(b, ' ')
	if topic == "" {
		topic = "-"
	}
	b = append(append(b, topic...), ' ')
	if seq == 0 {
		b = append(b, '-')
	} else {
		b = strconv.AppendUint(b, uint64(seq), 10)
	}
	b = append(append(b, ' '), cause...)
	return append(b, '\r', '\n')
}
