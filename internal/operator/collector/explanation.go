package collector

import (
	"context"
	"net/url"

	"apricotflow/internal/wire/encoder"
)

// Question asks an instance what it would do with a request. The tenant and the id may be empty.
type Question struct {
	Host, Path, Tenant, RequestID string
}

// FetchExplanation requests an explanation from one instance. The error is an *UnavailableError.
func (c *Collector) FetchExplanation(ctx context.Context, address string, q Question) (encoder.ExplainReply, error) {
	query := url.Values{"host": {q.Host}, "path": {q.Path}}
	if q.Tenant != "" {
		query.Set("tenant", q.Tenant)
	}
	if q.RequestID != "" {
		query.Set("id", q.RequestID)
	}
	return fetch[encoder.ExplainReply](ctx, c, address, "/v1/explain", query)
}
