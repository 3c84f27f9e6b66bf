package settings

// Settings is what one trestled process is told.
type Settings struct {
	// Name is the VM's name, unique in the deployment.
	Name             string `yaml:"name" validate:"required,max=100,name"`
	AvailabilityZone string `yaml:"availability_zone" validate:"required,max=100,name"`
	Region           string `yaml:"region" validate:"required,max=100,name"`
	DataCentre       string `yaml:"data_centre" validate:"required,max=100,name"`
	// Listen is where callers connect, as host:port.
	Listen string `yaml:"listen" validate:"required,listen_address"`
	// PeerListen is where other nodes connect.
	PeerListen string `yaml:"peer_listen" validate:"required,listen_address"`
	// OpsListen is where operators connect and metrics are read.
	OpsListen string `yaml:"ops_listen" validate:"required,listen_address"`
	// Advertise holds the addresses that others are told.
	Advertise Advertise `yaml:"advertise,omitempty"`
	Platform  Platform  `yaml:"platform"`
	Peers     Peers     `yaml:"peers,omitempty"`
	Handover  Handover  `yaml:"handover,omitempty"`
	Claims    Claims    `yaml:"claims,omitempty"`
	// TLS names the key files for calls between nodes. Empty: plain text.
	TLS TLS `yaml:"tls,omitempty"`
	// Operators may use the operators' service. Empty: nobody may.
	Operators []Operator `yaml:"operators,omitempty" validate:"unique=Name,dive"`
	Log       Log        `yaml:"log,omitempty"`
	// PassThrough is nil where the node serves the product's own interface.
	PassThrough *PassThrough `yaml:"pass_through,omitempty"`
}

// Advertise holds the addresses under which a process is reached. Each
// defaults to the address it listens on.
type Advertise struct {
	Entry string `yaml:"entry,omitempty" validate:"omitempty,listen_address"`
	Peer  string `yaml:"peer,omitempty" validate:"omitempty,listen_address"`
}

// Platform says how to reach the platform's service.
type Platform struct {
	// Addresses as host:port; any of them serves.
	Addresses []string `yaml:"addresses" validate:"required,min=1,max=16,dive,hostname_port"`
}

// Peers says how a process finds the others at its start, besides the
// platform's list of VMs.
type Peers struct {
	// Seeds are peer addresses as host:port.
	Seeds []string `yaml:"seeds,omitempty" validate:"max=64,dive,hostname_port"`
}

// Handover says what moves between data centres need.
type Handover struct {
	// Counterparts are peer addresses of the other data centres' nodes, as
	// host:port, by data centre.
	Counterparts map[string][]string `yaml:"counterparts,omitempty" validate:"max=16,dive,min=1,max=64,dive,hostname_port"`
	// Away lists the upstreams that another data centre serves until a move
	// brings them here.
	Away []string `yaml:"away,omitempty" validate:"max=1000"`
}

// TLS names PEM files, relative to the settings file. They are read again
// when they change.
type TLS struct {
	CertificateFile string `yaml:"certificate_file,omitempty" validate:"required_with=KeyFile AuthorityFile"`
	KeyFile         string `yaml:"key_file,omitempty" validate:"required_with=CertificateFile AuthorityFile"`
	// AuthorityFile holds the authorities whose certificates peers must have.
	AuthorityFile string `yaml:"authority_file,omitempty" validate:"required_with=CertificateFile KeyFile"`
}

// Enabled tells whether calls between nodes are to use TLS.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Operator is one person or program that may change the system.
type Operator struct {
	Name string `yaml:"name" validate:"required,max=100,name"`
	// KeySHA256 is the lower-case hex SHA-256 of the operator's key.
	KeySHA256 string `yaml:"key_sha256" validate:"len=64,hexadecimal"`
}

// LogFormat is how log lines are written.
type LogFormat string

// The log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log says what is logged and how.
type Log struct {
	// Format is text or json. Default text.
	Format LogFormat `yaml:"format,omitempty" validate:"omitempty,oneof=text json"`
	// Level is the lowest level written. Default info.
	Level string `yaml:"level,omitempty" validate:"omitempty,oneof=debug info warning error"`
}
