package rehearser

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/httpresponder"
	"apricotflow/platform"
)

// PublishTenants writes the next version of the configuration with these tenants to the store. Without any, requests need
// no key. The orders allow anonymous callers.
func (d *Deployment) PublishTenants(tenants ...platform.Tenant) int {
	d.mu.Lock()
	d.tenants = tenants
	d.mu.Unlock()
	return d.PublishConfig()
}

// SetStoreLink sets the mode of the link from an instance to the store.
func (d *Deployment) SetStoreLink(i int, mode forwarder.Mode) {
	d.storeLinks[i].Control(forwarder.Control{Mode: mode})
}

// Search sends a search with the header lines to an instance and returns the status of the response.
func (d *Deployment) Search(ctx context.Context, i int, header http.Header) (status int, err error) {
	return d.call(ctx, i, http.MethodGet, searchPrefix, header)
}

// Order sends an order with the header lines to an instance and returns the status of the response.
func (d *Deployment) Order(ctx context.Context, i int, header http.Header) (status int, err error) {
	return d.call(ctx, i, http.MethodPost, orderPrefix, header)
}

func (d *Deployment) call(ctx context.Context, i int, method, path string, header http.Header) (status int, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.CallerAddress(i)+path, nil)
	if err != nil {
		return 0, err
	}
	request.Host = searchHost
	maps.Copy(request.Header, header)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}

// ForeignTenants describes the requests that targets have run since the given time with another tenant than the given one,
// or with an Authorization header. Orders may have no tenant.
func (d *Deployment) ForeignTenants(tenant string, since time.Time) []string {
	var found []string
	d.forEachRun(func(service string, r httpresponder.ReceivedRequest) {
		names := r.Header[platform.HeaderTenant]
		anonymous := service == "orders" && len(names) == 0
		if r.ReadAt.Before(since) {
			return
		}
		if r.Header[platform.HeaderKey] != nil || !anonymous && (len(names) != 1 || names[0] != tenant) {
			found = append(found, fmt.Sprintf("%s %s with tenants %v", service, r.URI, names))
		}
	})
	return found
}

// Published returns what an instance tells operators: its log, and the responses of its interface for them.
func (d *Deployment) Published(ctx context.Context, i int) (string, error) {
	n := d.instances[i]
	logged, err := os.ReadFile(filepath.Join(d.directory, n.name+".log"))
	if err != nil {
		return "", err
	}
	var text strings.Builder
	text.Write(logged)
	for _, path := range []string{"/v1/status", "/v1/events", "/metrics"} {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.adminAddress+path, nil)
		if err != nil {
			return "", err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return "", err
		}
		_, err = io.Copy(&text, response.Body)
		if err = errors.Join(err, response.Body.Close()); err != nil {
			return "", err
		}
		if response.StatusCode != http.StatusOK {
			return "", fmt.Errorf("rehearser: %s: status %d", path, response.StatusCode)
		}
	}
	return text.String(), nil
}
