package replicapathrpc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	replicapathv1 "galenatrestle/internal/gen/trestle/replicapath/v1"
	"galenatrestle/internal/gen/trestle/replicapath/v1/replicapathv1connect"
	"galenatrestle/internal/replicapath"
)

// bufferSize is the size in bytes of the pieces in which a replica's data is passed on.
const bufferSize = 16 << 10

// Dial opens a direct connection to a replica for another node.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Server opens connections to replicas for other nodes. It is safe for concurrent use.
type Server struct {
	dial      Dial
	refuseNew atomic.Bool
	open      atomic.Int64
	opened    *prometheus.CounterVec
}

// NewServer returns a server and registers its metrics.
func NewServer(dial Dial, registry prometheus.Registerer) *Server {
	s := &Server{dial: dial, opened: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_relayed_connections_total", Help: "Connections to replicas that other nodes asked for, by outcome.",
	}, []string{"outcome"})}
	registry.MustRegister(s.opened, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_relayed_connections", Help: "Open connections to replicas that this node carries for other nodes.",
	}, func() float64 { return float64(s.open.Load()) }))
	return s
}

// RefuseNew refuses further connections, since this node is about to stop. Other nodes then try another one.
func (s *Server) RefuseNew() { s.refuseNew.Store(true) }

// Open returns the number of open connections.
func (s *Server) Open() int64 { return s.open.Load() }

// Handler returns the path and the handler to mount on the peer listener.
func (s *Server) Handler() (string, http.Handler) {
	return replicapathv1connect.NewReplicaPathServiceHandler(s)
}

type serverStream = connect.BidiStream[replicapathv1.ConnectRequest, replicapathv1.ConnectResponse]

// Connect implements replicapathv1connect.ReplicaPathServiceHandler.
func (s *Server) Connect(ctx context.Context, stream *serverStream) error {
	request, err := stream.Receive()
	if err != nil {
		return err
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	replica, err := s.connect(ctx, request.GetAddress())
	outcome := outcomeOf(err)
	s.opened.WithLabelValues(outcomeLabels[outcome]).Inc()
	if err := stream.Send(&replicapathv1.ConnectResponse{Outcome: outcome}); err != nil || replica == nil {
		if replica != nil {
			_ = replica.Close()
		}
		return err
	}
	defer replica.Close()
	defer context.AfterFunc(ctx, func() { _ = replica.Close() })()
	sending := &upload{replica: replica}
	go sending.copyFrom(stream)
	return copyFromReplica(stream, replica, sending)
}

// connect opens a connection to a replica. A node that is about to stop answers as one that reaches none, so
// that the other node tries another one.
func (s *Server) connect(ctx context.Context, address string) (net.Conn, error) {
	if s.refuseNew.Load() {
		return nil, replicapath.ErrPathLost
	}
	return s.dial(ctx, address)
}

func outcomeOf(err error) replicapathv1.Outcome {
	switch {
	case err == nil:
		return replicapathv1.Outcome_OUTCOME_CONNECTED
	case errors.Is(err, replicapath.ErrPathLost):
		return replicapathv1.Outcome_OUTCOME_PATH_LOST
	case errors.Is(err, syscall.ECONNREFUSED):
		return replicapathv1.Outcome_OUTCOME_REFUSED
	default:
		return replicapathv1.Outcome_OUTCOME_UNREACHABLE
	}
}

var outcomeLabels = map[replicapathv1.Outcome]string{
	replicapathv1.Outcome_OUTCOME_CONNECTED:   "connected",
	replicapathv1.Outcome_OUTCOME_REFUSED:     "refused",
	replicapathv1.Outcome_OUTCOME_UNREACHABLE: "unreachable",
	replicapathv1.Outcome_OUTCOME_PATH_LOST:   "path_lost",
}

// copyFromReplica sends the replica's data. It returns nil only if the replica closed the
// connection in order, so that a reset does not look like a complete response.
func copyFromReplica(stream *serverStream, replica net.Conn, sending *upload) error {
	buffer := make([]byte, bufferSize)
	for {
		n, err := replica.Read(buffer)
		if n > 0 {
			if sendErr := stream.Send(&replicapathv1.ConnectResponse{Data: buffer[:n]}); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF {
			if err = sending.writeError(); err == nil {
				return nil
			}
		}
		if err != nil {
			return connect.NewError(connect.CodeAborted, err)
		}
	}
}
