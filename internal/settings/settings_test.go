package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

const examplesFolder = "../../examples"

// TestParseReportsAllFaults checks that exactly the faults listed at the head of
// each file are reported.
func TestParseReportsAllFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(files).NotTo(gomega.BeEmpty())
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			text, err := os.ReadFile(file)
			expect(err).NotTo(gomega.HaveOccurred())
			_, err = settings.Parse(text)
			var faults settings.Faults
			expect(errors.As(err, &faults)).To(gomega.BeTrue())
			expected := 0
			for line := range strings.Lines(string(text)) {
				want, ok := strings.CutPrefix(line, "// want: ")
				if !ok {
					continue
				}
				expected++
				expect(err.Error()).To(gomega.ContainSubstring(strings.TrimSpace(want)))
			}
			expect(faults).To(gomega.HaveLen(expected), err.Error())
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, user := range []string{"gota-justa", "ktsra"} {
		expect := gomega.NewWithT(t).Expect
		text, err := os.ReadFile(filepath.Join(examplesFolder, user+".jsonc"))
		expect(err).NotTo(gomega.HaveOccurred())
		document, err := configuration.Parse(text)
		expect(err).NotTo(gomega.HaveOccurred())
		for _, role := range []string{"node", "replica"} {
			text, err := os.ReadFile(filepath.Join(examplesFolder, user+"-"+role+".jsonc"))
			expect(err).NotTo(gomega.HaveOccurred())
			loaded, err := settings.Parse(text)
			expect(err).NotTo(gomega.HaveOccurred(), user+" "+role)
			expect(document.Services).To(gomega.HaveKey(loaded.Service))
			expect(loaded.HoldsReplica()).To(gomega.Equal(role == "replica"))
			loaded.ResolvePaths(examplesFolder)
			if loaded.HoldsReplica() {
				expect(loaded.Replica.InitialConfiguration).To(gomega.BeAnExistingFile())
			}
		}
	}
}

// Other processes are told the advertised address, or the listen address if none
// is advertised.
func TestPeerAddressPrefersAdvertised(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	loaded := &settings.Settings{Listen: settings.Listen{Peers: "127.0.0.1:7402"}}
	expect(loaded.PeerAddress()).To(gomega.BeEquivalentTo("127.0.0.1:7402"))
	loaded.Advertise.Peers = "127.0.0.1:9402"
	expect(loaded.PeerAddress()).To(gomega.BeEquivalentTo("127.0.0.1:9402"))
}
