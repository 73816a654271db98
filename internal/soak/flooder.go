package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// floodWindow is how many publishes a flooder has under way: below what one client may.
	floodWindow = 200
	// floodLife is how long a flooder keeps a connection.
	floodLife = 8 * time.Second
	// floodRate is how many publishes a second a flooder makes at the most: enough to have more
	// than 131,072 kept, and few enough for the other runs of the machine.
	floodRate = 3000
)

// flood publishes under one name on a topic of its own as fast as it is acknowledged, over one
// connection after another, until stop is closed. The others are not to notice.
func (a *abusers) flood(stop chan struct{}, random *rand.Rand) {
	seq := uint64(0)
	for {
		select {
		case <-stop:
			return
		default:
		}
		fronts := a.fronts()
		seq = a.floodOnce(stop, fronts[random.IntN(len(fronts))], seq)
		time.Sleep(tenth)
	}
}

// floodOnce floods over one connection and gives the last number it used.
func (a *abusers) floodOnce(stop chan struct{}, front string, seq uint64) uint64 {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return seq
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(floodLife))
	fmt.Fprintf(conn, "%s\r\n", strings.TrimSpace("ATTACH flooder "+a.key))
	reader := bufio.NewReader(conn)
	if line, err := reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "SUCCESS") {
		return seq
	}
	body := strings.Repeat("f", minBody)
	began, first := time.Now(), seq
	for open := 0; ; {
		select {
		case <-stop:
			return seq
		default:
		}
		var lines strings.Builder
		allowed := first + uint64(time.Since(began).Seconds()*floodRate) + 1
		for ; open < floodWindow && (seq < allowed || open == 0); open++ {
			seq++
			lines.WriteString("PUBLISH " + retainedPrefix + "flood " + strconv.FormatUint(seq, 10) + " 20\r\n" + body + "\r\n")
		}
		if _, err := io.WriteString(conn, lines.String()); err != nil {
			return seq
		}
		line, err := reader.ReadString('\n')
		if err != nil {
			return seq
		}
		open--
		a.history.count("flooder " + strings.Fields(line)[0])
	}
}

// queueFloodWindow is how many messages a flooder of a queue has under way.
const queueFloodWindow = 40

// floodQueue hands messages in on a route of its own, as fast as they are accepted, until stop is
// closed. Its service is one that others use, too: they wait for its workers, but no message of
// another service does.
func (a *abusers) floodQueue(stop chan struct{}, seed uint64) {
	var all sync.WaitGroup
	for i := range queueFloodWindow {
		random := rand.New(rand.NewPCG(seed, 0xf100d+uint64(i)))
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				header := map[string]string{"Host": queueHost, "X-Attempt-Id": fmt.Sprintf("abuse-flood-%d-%d-%x", i, n, random.Uint32())}
				if a.key != "" {
					header["X-Api-Key"] = a.key
				}
				fronts := a.fronts()
				answer := callFor(queueTimeout, http.MethodPost, "http://"+fronts[0]+"/abuse/1", header, []byte("flood"))
				a.history.count(fmt.Sprintf("flooder answered %d", answer.status))
				time.Sleep(time.Duration(random.Int64N(int64(40 * time.Millisecond))))
			}
		})
	}
	all.Wait()
}
