package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

const callTimeout = 15 * time.Second

// client calls the operator API of the instances.
type client struct {
	options
	http  *http.Client
	stdin *os.File // terminal on which the operator answers questions
}

func newClient(o options) (*client, error) {
	c := &client{options: o, http: &http.Client{Timeout: callTimeout}, stdin: os.Stdin}
	if o.ca == "" {
		return c, nil
	}
	pem, err := os.ReadFile(o.ca)
	if err != nil {
		return nil, cli.Usagef("cannot read -ca file %q: %v", o.ca, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, cli.Usagef("-ca file %q contains no certificate in PEM", o.ca)
	}
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}}
	return c, nil
}

func (c *client) servers() []string {
	return strings.Split(c.server, ",")
}

// call sends a request to one instance and decodes the response into into.
func (c *client) call(ctx context.Context, server, method, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("instance %s did not respond; name another with -server: %w", server, err)
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp.Status, response)
	}
	return json.Unmarshal(response, into)
}

// apiError is an error response of an instance.
type apiError struct {
	Kind    string           `json:"kind"`
	Message string           `json:"message"`
	Plan    *nutmegconf.Plan `json:"plan"` // new plan that replaces a stale one
}

// Error returns the kind and the message.
func (e *apiError) Error() string {
	return e.Kind + ": " + e.Message
}

// decodeError returns the error in a response body, or one with the status and
// the body if the body holds no API error.
func decodeError(status string, response []byte) error {
	var body struct {
		Error *apiError `json:"error"`
	}
	if json.Unmarshal(response, &body) != nil || body.Error == nil || body.Error.Message == "" {
		return fmt.Errorf("instance responded with status %s: %s", status, response)
	}
	return body.Error
}
