// Package create implements the command `magnolia certificate create`.
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

// Options are the arguments and flags of the command, as kong parses them.
type Options struct {
	Name   string `arg:"" help:"Node id or operator's name."`
	Folder string `required:"" help:"Folder of the site's authority and certificates."`
	Role   string `default:"node" enum:"node,operator" help:"What it is for: node or operator."`
	Site   string `default:"magnoliawall" help:"Name of the site, for a new authority."`
	Days   int    `default:"365" help:"Days until it expires."`
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
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

// Run executes the command.
func (options *Options) Run(tools *factory.Factory) error {
	if options.Days < 1 {
		return program.WithCode(program.ExitUsage, fmt.Errorf("--days %d: give one day or more", options.Days))
	}
	now := tools.Now()
	_, err := os.Stat(filepath.Join(options.Folder, certificate.AuthorityCertificate))
	if errors.Is(err, fs.ErrNotExist) {
		if err := certificate.CreateAuthority(options.Folder, options.Site, authorityYears*365*day, now); err != nil {
			return err
		}
		tools.Streams.Printf("authority of %s in %s\n", options.Site, options.Folder)
	}
	request := certificate.Request{Name: options.Name, Role: certificate.Role(options.Role), Validity: time.Duration(options.Days) * day}
	if err := certificate.Issue(options.Folder, request, now); err != nil {
		return err
	}
	tools.Streams.Printf("%s and its key in %s, for %d days\n", options.Name+".pem", options.Folder, options.Days)
	return nil
}
