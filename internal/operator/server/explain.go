package server

import (
	"net/http"
	"net/url"
	"strings"
)

// Query parameters of GET /v1/explain. The host and the path are required.
const (
	paramHost   = "host"
	paramPath   = "path"
	paramTenant = "tenant"
	paramID     = "id"
)

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	if s.explain == nil {
		errorHandler(codeNotFound, "this instance does not relay requests").ServeHTTP(w, r)
		return
	}
	values := r.URL.Query()
	if err := checkExplainQuery(values); err != nil {
		errorHandler(codeInvalidParameter, err.Error()).ServeHTTP(w, r)
		return
	}
	reply := s.explain(values.Get(paramHost), values.Get(paramPath), values.Get(paramTenant), values.Get(paramID))
	reply.Instance = s.identity.Instance
	writeReply(w, http.StatusOK, reply)
}

// checkExplainQuery refuses unknown, repeated and missing parameters. Their values are not repeated in the error.
func checkExplainQuery(values url.Values) error {
	for name, texts := range values {
		switch name {
		case paramHost, paramPath, paramTenant, paramID:
			if len(texts) > 1 {
				return &filterError{parameter: name, message: "is repeated"}
			}
		default:
			return &filterError{parameter: name, message: "is unknown; use host, path, tenant or id"}
		}
	}
	if values.Get(paramHost) == "" {
		return &filterError{parameter: paramHost, message: "is missing"}
	}
	if !strings.HasPrefix(values.Get(paramPath), "/") {
		return &filterError{parameter: paramPath, message: "must begin with a slash"}
	}
	return nil
}
