package standin

import (
	"encoding/json"
	"net/http"
)

// RecordsPath is the path of the read-only endpoint of a stand-in that shows what it recorded.
const RecordsPath = "/standin/records"

// EngineRecords is what a stand-in engine shows of its work.
type EngineRecords struct {
	Name    string `json:"name"`
	Crashes int    `json:"crashes"`
	// MaxWork is the largest work that ever ran at one time, in tokens.
	MaxWork float64 `json:"max_work"`
	Runs    []Run   `json:"runs"`
}

// Records returns what the engine recorded since its process started.
func (e *Engine) Records() EngineRecords {
	_, largest := e.Work()
	return EngineRecords{Name: e.Name(), Crashes: e.Crashes(), MaxWork: largest, Runs: e.Runs()}
}

// ServiceRecords is what a stand-in service shows of its work.
type ServiceRecords struct {
	Name       string      `json:"name"`
	Executions []Execution `json:"executions"`
}

// Records returns what the service recorded since its process started.
func (s *Service) Records() ServiceRecords {
	return ServiceRecords{Name: s.Name(), Executions: s.Executions()}
}

func writeRecords[T any](w http.ResponseWriter, records T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(records)
}
