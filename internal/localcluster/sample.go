package localcluster

import (
	_ "embed" // the sample configurations
	"path/filepath"
)

//go:embed sample_topics.json
var sampleTopics []byte

//go:embed sample_queue.json
var sampleQueue []byte

// SampleService is the service that the sample configuration of a queue sends to.
const SampleService = "stock"

// SampleConfiguration gives a first configuration for the plan's kind of deployment.
func (p Plan) SampleConfiguration() []byte {
	if p.Queue {
		return sampleQueue
	}
	return sampleTopics
}

// ConfigurationPath is where Write puts the sample configuration.
func (p Plan) ConfigurationPath() string { return filepath.Join(p.Dir, "config.json") }
