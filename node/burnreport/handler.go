package burnreport

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/basilferry/basilferry/core/burn"
	"github.com/basilferry/basilferry/core/domain"
)

// format is an output format of the report.
type format struct {
	contentType string
	write       func(io.Writer, burn.Report) error
}

var formats = map[string]format{
	"":      {"application/json", WriteJSON},
	"json":  {"application/json", WriteJSON},
	"table": {"text/plain; charset=utf-8", WriteTable},
	"html":  {"text/html; charset=utf-8", WriteHTML},
}

// Handler serves the report that source returns in the format that the query
// parameter format selects: json (the default), table or html. It answers an unknown
// format with a *domain.Error of kind KindBadRequest.
func Handler(source func() burn.Report) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := r.URL.Query().Get("format")
		f, ok := formats[name]
		if !ok {
			writeError(w, &domain.Error{
				Kind:    domain.KindBadRequest,
				Message: fmt.Sprintf("format %q is unknown", name),
				Remedy:  "use json, table or html",
			})
			return
		}
		var body bytes.Buffer
		if err := f.write(&body, source()); err != nil {
			writeError(w, domain.AsError(err))
			return
		}
		w.Header().Set("Content-Type", f.contentType)
		_, _ = w.Write(body.Bytes())
	})
}

func writeError(w http.ResponseWriter, err *domain.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.HTTPStatus())
	_ = json.NewEncoder(w).Encode(err)
}
