package standin

import (
	"encoding/json"
	"net/http"
)

// RecordsPath is the path of the read-only endpoint at which a stand-in returns its records.
const RecordsPath = "/standin/records"

// EngineRecords is the JSON body that a stand-in engine serves at RecordsPath.
type EngineRecords struct {
	Name    string `json:"name"`
	Crashes int    `json:"crashes"`
	// MaxWork is the peak of the work running at the same time, in tokens.
	MaxWork float64 `json:"max_work"`
	Runs    []Run   `json:"runs"`
}

// Records returns what the engine recorded since its process started.
func (e *Engine) Records() EngineRecords {
	_, largest := e.Work()
	return EngineRecords{Name: e.Name(), Crashes: e.Crashes(), MaxWork: largest, Runs: e.Runs()}
}

// ServiceRecords is the JSON body that a stand-in service serves at RecordsPath.
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
