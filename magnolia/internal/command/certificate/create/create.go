// Package create is the command `magnolia certificate create`.
//
// # Usage
//
//	command := create.New()
//	err := command.Run(ctx, tools)
package create

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/certificate"
	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
)

// Options are the arguments of the command.
type Options struct {
	Name   string `arg:"" help:"Node id or operator's name."`
	Folder string `required:"" help:"Folder of the site's authority and certificates."`
	Role   string `default:"node" enum:"node,operator" help:"What it is for: node or operator."`
	Site   string `default:"magnoliawall" help:"Name of the site, for a new authority."`
	Days   int    `default:"365" help:"Days until it expires."`
}

// New gives the command.
func New() *Options {
	return &Options{}
}

// Help tells of the command at length.
func (op *Options) Help() string {
	return `Makes a certificate and its key, signed by the site's own authority. The authority
is made first where the folder has none. Keep its key away from the hosts. No
file is ever replaced.

Examples:
  magnolia certificate create norte-a-agenda-1 --folder certificates --site gota-justa
  magnolia certificate create ines --folder certificates --role operator --days 90`
}

const (
	day            = 24 * time.Hour
	authorityYears = 10
)

// Run runs the command.
func (op *Options) Run(tools *factory.Factory) error {
	if op.Days < 1 {
		return program.WithCode(program.ExitUsage, fmt.Errorf("--days %d: give one day or more", op.Days))
	}
	now := tools.Now()
	_, err := os.Stat(filepath.Join(op.Folder, certificate.AuthorityCertificate))
	if errors.Is(err, fs.ErrNotExist) {
		if err := certificate.CreateAuthority(op.Folder, op.Site, authorityYears*365*day, now); err != nil {
			return err
		}
		tools.Streams.Printf("authority of %s in %s\n", op.Site, op.Folder)
	}
	asked := certificate.Request{Name: op.Name, Role: certificate.Role(op.Role), Validity: time.Duration(op.Days) * day}
	if err := certificate.Issue(op.Folder, asked, now); err != nil {
		return err
	}
	tools.Streams.Printf("%s and its key in %s, for %d days\n", op.Name+".pem", op.Folder, op.Days)
	return nil
}
