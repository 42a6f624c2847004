// Package factory holds what every command of magnolia is given: streams, the
// operator's settings and the client, built when they are first asked for.
//
// # Usage
//
//	tools := factory.New()
//	client, err := tools.Client()
//	status, err := operator.Ask[operator.Status](ctx, client, operator.ViewStatus, operator.Done{})
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

// Settings are what an operator need not type each time. They come from flags,
// the environment and a file of JSON with comments, in this order.
type Settings struct {
	// Address is the admin address of any node, as host:port.
	Address string `json:"address"`
	// Operator is the name that patches are recorded under.
	Operator    string `json:"operator"`
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Factory is what a command needs from outside. A test sets its own fields.
type Factory struct {
	Streams *terminal.Streams
	// Flags are the settings of the command line.
	Flags Settings
	// Environment gives a variable or nothing.
	Environment func(name string) string
	// ConfigFolder and StateFolder give the folders of this user.
	ConfigFolder func() (string, error)
	StateFolder  func() (string, error)
	Now          func() time.Time

	settings *Settings
	client   *operator.Client
}

// New gives the factory of the program.
func New() *Factory {
	return &Factory{
		Streams:      terminal.System(),
		Environment:  os.Getenv,
		ConfigFolder: os.UserConfigDir,
		StateFolder:  os.UserCacheDir,
		Now:          time.Now,
	}
}

// Settings gives the settings in force.
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

// fileSettings reads the settings file of this user; without one all are empty.
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

// SetDefaults sets nothing: every field may be left out.
func (*Settings) SetDefaults() {}

// Operator gives the name that changes are recorded under: as set, or else as
// the certificate has it, or else the user's of this host.
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
		return "", program.WithCode(program.ExitUsage, errors.New("no operator's name: give --operator or set MAGNOLIA_OPERATOR"))
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

// Client gives the client of the node that the settings name.
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
	given := loaded.Authority + loaded.Certificate + loaded.Key
	if given != "" && (loaded.Authority == "" || loaded.Certificate == "" || loaded.Key == "") {
		return nil, program.WithCode(program.ExitUsage, errors.New("give all of --authority, --certificate and --key, or none for plaintext"))
	}
	if given == "" {
		return &operator.Client{Base: "http://" + loaded.Address, HTTP: &http.Client{Timeout: requestTimeout}}, nil
	}
	files, err := loadCertificateFiles(loaded)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: files.Client(certificate.RoleNode)}
	return &operator.Client{Base: "https://" + loaded.Address, HTTP: &http.Client{Timeout: requestTimeout, Transport: transport}}, nil
}

// Pending gives the patches whose outcome is not known yet.
func (factory *Factory) Pending() (*pending.Folder, error) {
	folder, err := factory.StateFolder()
	if err != nil {
		return nil, fmt.Errorf("find a folder for pending patches: %w", err)
	}
	return &pending.Folder{Path: filepath.Join(folder, folderName, "pending")}, nil
}
