package trestlectl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"connectrpc.com/connect"

	"galenatrestle/internal/gen/trestle/operator/v1/operatorv1connect"
)

// keyVariable holds the operator's key where no file is named.
const keyVariable = "TRESTLE_OPERATOR_KEY"

// console is what a command works with.
type console struct {
	cli *cli
	out io.Writer
}

func (c *console) printf(format string, args ...any) {
	fmt.Fprintf(c.out, format, args...)
}

// client returns the operators' service of the node.
func (c *console) client() (operatorv1connect.OperatorServiceClient, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	address := c.cli.Address
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	httpClient := &http.Client{Timeout: c.cli.Timeout}
	return operatorv1connect.NewOperatorServiceClient(httpClient, address, connect.WithInterceptors(withKey(key))), nil
}

func (c *console) key() (string, error) {
	if c.cli.KeyFile == "" {
		return os.Getenv(keyVariable), nil
	}
	data, err := os.ReadFile(c.cli.KeyFile)
	return strings.TrimSpace(string(data)), err
}

// withKey sends the operator's key with each call.
func withKey(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if key != "" {
				request.Header().Set("Authorization", "Bearer "+key)
			}
			return next(ctx, request)
		}
	}
}

// readDocument reads a file, or standard input for "-".
func readDocument(path string) ([]byte, error) {
	if path == "" {
		return nil, errors.New("a file is required")
	}
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
