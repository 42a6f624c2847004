package configuration_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

func readCustomers(t testing.TB) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/customers.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func compileCustomers(t testing.TB) *configuration.Matcher {
	t.Helper()
	document, err := configuration.Parse(readCustomers(t))
	if err != nil {
		t.Fatal(err)
	}
	return configuration.Compile(document)
}

func TestCustomerIsFoundByAnyOfItsKeys(t *testing.T) {
	matcher := compileCustomers(t)
	cases := []struct {
		key      string
		customer request.CustomerName
	}{
		{"salto-1", "salto"},
		{"salto-2", "salto"},
		{"artigas-1", "artigas"},
		{"Salto-1", ""},
		{"salto-1 ", ""},
		{"salto", ""},
		{"", ""},
		{string(make([]byte, 300)), ""},
	}
	for _, test := range cases {
		t.Run(fmt.Sprintf("%.20q", test.key), func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			customer := matcher.Customer(test.key)
			if test.customer == "" {
				expect(customer).To(gomega.BeNil())
				return
			}
			expect(customer.Name).To(gomega.Equal(test.customer))
		})
	}
}

func TestCustomerLookupDoesNotAllocate(t *testing.T) {
	matcher := compileCustomers(t)
	for _, key := range []string{"salto-1", "unknown"} {
		gomega.NewWithT(t).Expect(testing.AllocsPerRun(100, func() { matcher.Customer(key) })).To(gomega.BeZero())
	}
}

// The importance of a customer goes before that of a route. Calls without a customer
// belong to trees that have begun.
func TestImportanceOfCustomerGoesFirst(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	matcher := compileCustomers(t)
	low, _ := matcher.Route("a.example", "/low/1")
	high, _ := matcher.Route("a.example", "/high/1")
	first, second := matcher.Customer("salto-1"), matcher.Customer("artigas-1")
	ascending := []request.Importance{
		matcher.Importance(&low.Kind, second),
		matcher.Importance(&high.Kind, second),
		matcher.Importance(&low.Kind, first),
		matcher.Importance(&high.Kind, first),
	}
	expect(ascending).To(gomega.Equal([]request.Importance{0, 1, 2, 3}))
	expect(matcher.ImportanceLevels()).To(gomega.Equal(4))
	expect(matcher.Importance(&low.Kind, nil)).To(gomega.Equal(ascending[2]))
	expect(matcher.InheritedImportance(ascending[0], &high.Kind)).To(gomega.Equal(ascending[1]))
	expect(matcher.InheritedImportance(ascending[3], &low.Kind)).To(gomega.Equal(ascending[3]))
}

// A parent of a node with another version may have more levels than this one knows.
func TestInheritedImportanceStaysWithinItsLevels(t *testing.T) {
	matcher := compileCustomers(t)
	low, _ := matcher.Route("a.example", "/low/1")
	for parent := range 256 {
		inherited := matcher.InheritedImportance(request.Importance(parent), &low.Kind)
		gomega.NewWithT(t).Expect(int(inherited)).To(gomega.BeNumerically("<", matcher.ImportanceLevels()), "parent %d", parent)
	}
}

// A table without customers still requires a key, so that the removal of the last
// customer does not open all routes.
func TestKeysAreRequiredByTableOfCustomers(t *testing.T) {
	cases := []struct {
		name      string
		customers map[request.CustomerName]configuration.Customer
		required  bool
	}{
		{"no table", nil, false},
		{"empty table", map[request.CustomerName]configuration.Customer{}, true},
		{"customer without keys", map[request.CustomerName]configuration.Customer{"salto": {}}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			matcher := configuration.Compile(&configuration.Document{Customers: test.customers})
			gomega.NewWithT(t).Expect(matcher.RequiresKeys()).To(gomega.Equal(test.required))
		})
	}
}

func TestKeysAreNotShown(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	text := readCustomers(t)
	shown, err := configuration.HideKeys(text)
	expect(err).NotTo(gomega.HaveOccurred())
	expect(string(shown)).NotTo(gomega.MatchRegexp(`(salto|artigas)-[0-9]`))
	expect(string(shown)).To(gomega.ContainSubstring("// A user with two customers"))

	patched, err := configuration.Patch(text, []byte(`[{"op": "replace", "path": "/customers/salto/keys", "value": ["salto-3"]}]`))
	expect(err).NotTo(gomega.HaveOccurred())
	changes, err := configuration.Diff(text, patched)
	expect(err).NotTo(gomega.HaveOccurred())
	expect(changes).To(gomega.HaveLen(1))
	expect(changes[0].Field).To(gomega.Equal("customers.salto.keys"))
	expect(changes[0].String()).NotTo(gomega.MatchRegexp(`salto-[0-9]`))

	document, err := configuration.Parse(text)
	expect(err).NotTo(gomega.HaveOccurred())
	for _, verb := range []string{"%v", "%+v", "%#v", "%s"} {
		expect(fmt.Sprintf(verb, document.Customers)).NotTo(gomega.MatchRegexp(`(salto|artigas)-[0-9]`))
	}
}

func BenchmarkCustomer(b *testing.B) {
	document := &configuration.Document{Customers: make(map[request.CustomerName]configuration.Customer)}
	for number := range 100_000 {
		name := fmt.Sprintf("customer-%d", number)
		document.Customers[request.CustomerName(name)] = configuration.Customer{Keys: []configuration.CustomerKey{configuration.CustomerKey("key-of-" + name)}}
	}
	matcher := configuration.Compile(document)
	b.ReportAllocs()
	for b.Loop() {
		matcher.Customer("key-of-customer-77777")
	}
}
