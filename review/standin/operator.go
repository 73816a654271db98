package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call makes one HTTP call.
func call(method, url string, header http.Header, body []byte, within time.Duration) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	client := http.Client{Timeout: within}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// putConfiguration sends a configuration to one control process after the other until it
// is acknowledged.
func (d *deployment) putConfiguration(match int, body []byte, within time.Duration) error {
	header := http.Header{"If-Match": {fmt.Sprint(match)}, "Content-Type": {"application/json"}}
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		p := d.controls[i%len(d.controls)]
		code, answer, err := call("PUT", "http://"+d.control(p)+"/v1/configuration", header, body, 2*time.Second)
		d.line("operator: PUT /v1/configuration on top of %d to %s: %d %s %v", match, p.name, code, answer, err)
		if err == nil && code == 200 {
			return nil
		}
		if err == nil && code >= 400 && code < 500 {
			return fmt.Errorf("the configuration was refused: %d %s", code, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

// status is what a control process says of the deployment.
type status struct {
	Shards []struct {
		Voters []struct {
			Node string
		}
	} `json:"shards"`
}

// readStatus reads the status of a control process.
func (d *deployment) readStatus(p *process) (s status, raw []byte, err error) {
	_, raw, err = call("GET", "http://"+d.control(p)+"/v1/status", nil, nil, time.Second)
	if err == nil {
		err = json.Unmarshal(raw, &s)
	}
	return s, raw, err
}
