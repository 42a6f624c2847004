// Package factory provides the dependencies of every command of magnolia: the
// terminal streams, the operator's settings and the client of the admin port. The
// settings and the client are created on first use and then reused. A [Factory] is
// used by one goroutine.
//
// # Usage
//
//	tools := factory.New()
//	client, err := tools.Client()
//	status, err := operator.Call[operator.Status](ctx, client, operator.ViewStatus, operator.Done{})
package factory

import (
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/certificate"
	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/internal/strictjson"
	"github.com/magnoliawall/magnoliawall/internal/terminal"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/pending"
)

const (
	folderName     = "magnolia"
	settingsName   = "settings.jsonc"
	requestTimeout = 15 * time.Second
)

// Settings are the operator's settings. Each one is taken from its flag, its
// environment variable or a settings file (JSON with comments), in this order of
// precedence.
type Settings struct {
	// Address is the admin address of any node, as host:port.
	Address string `json:"address"`
	// Operator is the name that changes are recorded under.
	Operator string `json:"operator"`
	// Authority, Certificate and Key are paths of PEM files: the certificate of the
	// site's authority, and the operator's own certificate and key.
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Factory holds the dependencies of a command. Tests may replace the exported
// fields.
type Factory struct {
	Streams *terminal.Streams
	// Flags are the settings given on the command line.
	Flags Settings
	// Environment returns an environment variable, or an empty string.
	Environment func(name string) string
	// ConfigFolder and StateFolder return the user's folders for settings and for
	// pending patches.
	ConfigFolder func() (string, error)
	StateFolder  func() (string, error)
	Now          func() time.Time

	settings *Settings
	client   *operator.Client
}

// New returns a factory that uses the process's streams, environment and user
// folders.
func New() *Factory {
	return &Factory{
		Streams:      terminal.System(),
		Environment:  os.Getenv,
		ConfigFolder: os.UserConfigDir,
		StateFolder:  os.UserCacheDir,
		Now:          time.Now,
	}
}

// Settings returns the effective settings.
func (factory *Factory) Settings() (*Settings, error) {
	if factory.settings != nil {
		return factory.settings, nil
	}
	file, err := factory.fileSettings()
	if err != nil {
		return nil, program.WithCode(program.ExitUsage, err)
	}
	factory.settings = &Settings{
		Address:     firstNonEmpty(factory.Flags.Address, factory.Environment("MAGNOLIA_ADDRESS"), file.Address),
		Operator:    firstNonEmpty(factory.Flags.Operator, factory.Environment("MAGNOLIA_OPERATOR"), file.Operator),
		Authority:   firstNonEmpty(factory.Flags.Authority, factory.Environment("MAGNOLIA_AUTHORITY"), file.Authority),
		Certificate: firstNonEmpty(factory.Flags.Certificate, factory.Environment("MAGNOLIA_CERTIFICATE"), file.Certificate),
		Key:         firstNonEmpty(factory.Flags.Key, factory.Environment("MAGNOLIA_KEY"), file.Key),
	}
	return factory.settings, nil
}

func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}

// fileSettings reads the user's settings file. Without a file or a folder for it,
// all settings are empty.
func (factory *Factory) fileSettings() (*Settings, error) {
	folder, err := factory.ConfigFolder()
	if err != nil {
		return &Settings{}, nil
	}
	path := filepath.Join(folder, folderName, settingsName)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &Settings{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	loaded := &Settings{}
	_, faults := strictjson.Decode(text, loaded)
	if err := faults.Err(); err != nil {
		return nil, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return loaded, nil
}

// SetDefaults does nothing: the settings have no defaults.
func (*Settings) SetDefaults() {}

// Operator returns the name that changes are recorded under: the one in the
// settings, or else the common name of the certificate, or without a certificate
// the user name on this host.
func (factory *Factory) Operator() (string, error) {
	loaded, err := factory.Settings()
	if err != nil {
		return "", err
	}
	if loaded.Certificate != "" && loaded.Operator == "" {
		return certificateName(loaded)
	}
	name := firstNonEmpty(loaded.Operator, factory.Environment("USER"))
	if name == "" {
		return "", program.WithCode(program.ExitUsage, errors.New("no operator name: give --operator or set MAGNOLIA_OPERATOR"))
	}
	return name, nil
}

func certificateName(loaded *Settings) (string, error) {
	files, err := loadCertificateFiles(loaded)
	if err != nil {
		return "", err
	}
	return files.Name(), nil
}

func loadCertificateFiles(loaded *Settings) (*certificate.Files, error) {
	files := &certificate.Files{Authority: loaded.Authority, Certificate: loaded.Certificate, Key: loaded.Key}
	return files, program.WithCode(program.ExitUsage, files.Load())
}

// Client returns the client of the node whose admin address is in the settings.
func (factory *Factory) Client() (*operator.Client, error) {
	if factory.client != nil {
		return factory.client, nil
	}
	loaded, err := factory.Settings()
	if err != nil {
		return nil, err
	}
	if loaded.Address == "" {
		return nil, program.WithCode(program.ExitUsage, errors.New("no address: give --address HOST:PORT of any node's admin port, or set MAGNOLIA_ADDRESS"))
	}
	factory.client, err = newClient(loaded)
	return factory.client, err
}

func newClient(loaded *Settings) (*operator.Client, error) {
	paths := loaded.Authority + loaded.Certificate + loaded.Key
	if paths != "" && (loaded.Authority == "" || loaded.Certificate == "" || loaded.Key == "") {
		return nil, program.WithCode(program.ExitUsage, errors.New("give all of --authority, --certificate and --key, or none for plaintext"))
	}
	if paths == "" {
		return &operator.Client{Base: "http://" + loaded.Address, HTTP: &http.Client{Timeout: requestTimeout}}, nil
	}
	files, err := loadCertificateFiles(loaded)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: files.ClientConfig(certificate.RoleNode)}
	return &operator.Client{Base: "https://" + loaded.Address, HTTP: &http.Client{Timeout: requestTimeout, Transport: transport}}, nil
}

// Pending returns the store of the ids of patches whose outcome is not known yet.
func (factory *Factory) Pending() (*pending.Folder, error) {
	folder, err := factory.StateFolder()
	if err != nil {
		return nil, fmt.Errorf("find a folder for pending patches: %w", err)
	}
	return &pending.Folder{Path: filepath.Join(folder, folderName, "pending")}, nil
}
