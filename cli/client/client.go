package client

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// DefaultTimeout is the maximum duration of a call to one node. It is longer
	// than the 10 s after which a node returns a timeout error of its own.
	DefaultTimeout = 12 * time.Second
	// dialTimeout is the maximum time to establish a connection. It is short so
	// that an unreachable node uses little of the request's deadline.
	dialTimeout = 2 * time.Second
	// responseMargin is the additional time after the deadline of an urgent
	// request in which its outcome can still arrive.
	responseMargin = 1500 * time.Millisecond
	// maxResponseBytes is the maximum size of a response body. The largest
	// responses are configuration histories and worker lists.
	maxResponseBytes = 64 << 20
)

// Options configure a Client.
type Options struct {
	// Nodes are the base URLs of the entry nodes in the order in which they are
	// tried, for example "http://127.0.0.1:8080"; "http://" is optional.
	Nodes []string
	// Token is the operator token; if it is empty, none is sent.
	Token string
	// Timeout is the maximum duration of a call to one node; zero means
	// DefaultTimeout.
	Timeout time.Duration
}

// Client calls entry nodes. It is safe for concurrent use.
type Client struct {
	nodes   []string
	token   string
	timeout time.Duration
	http    *http.Client
}

// New returns a client. It returns an error of kind KindBadRequest if no node
// is given, a node URL is malformed or the timeout is negative.
func New(o Options) (*Client, error) {
	if len(o.Nodes) == 0 {
		return nil, invalidNodeError("no entry node is given")
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Timeout < 0 {
		return nil, &domain.Error{Kind: domain.KindBadRequest, Message: "the timeout is negative", Remedy: "set --timeout to a positive duration such as 10s"}
	}
	c := &Client{token: o.Token, timeout: o.Timeout, http: newHTTPClient()}
	for _, rawURL := range o.Nodes {
		base, err := parseBaseURL(rawURL)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, base)
	}
	return c, nil
}

// Nodes returns the base URLs of the nodes.
func (c *Client) Nodes() []string { return c.nodes }

// ForNode returns a client that calls only the given node, one of Nodes.
func (c *Client) ForNode(node string) *Client {
	single := *c
	single.nodes = []string{node}
	return &single
}

// newHTTPClient returns an HTTP client that never resends a request by itself.
// It does not follow redirects. It does not reuse connections, because net/http
// retries some requests when a reused connection fails. It uses no proxy.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return dialer.DialContext(ctx, network, address)
			},
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func parseBaseURL(rawURL string) (string, error) {
	if !strings.Contains(rawURL, "://") {
		rawURL = "http://" + rawURL
	}
	u, err := url.Parse(rawURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", invalidNodeError(fmt.Sprintf("node URL %q is malformed", rawURL))
	}
	if strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.Fragment != "" {
		return "", invalidNodeError(fmt.Sprintf("node URL %q contains more than a scheme and an address", rawURL))
	}
	return u.Scheme + "://" + u.Host, nil
}

func invalidNodeError(message string) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: message,
		Remedy:  "give each node with --node http://ip:port or list all of them in BASILFERRY_NODES",
	}
}
