package strictjson_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/strictjson"
)

type item struct {
	Size int  `json:"size"`
	Open bool `json:"open"`
}

func (item *item) SetDefaults() { item.Size = 7 }

type document struct {
	Name  string          `json:"name"`
	Count uint8           `json:"count"`
	Share float64         `json:"share"`
	Items []item          `json:"items"`
	Named map[string]item `json:"named"`
}

func TestDecodeReportsEachFault(t *testing.T) {
	for text, want := range map[string]string{
		"{\n\"name\": null}":                    "line 2: name: is null; use a string",
		"{\n\"count\": 300}":                    "line 2: count: is the number 300; use an integer of zero or more",
		"{\"share\": \"much\"}":                 "line 1: share: is the string \"much\"; use a number",
		"{\"items\": {}}":                       "line 1: items: is an object; use an array",
		"{\"items\": [{},\n{\"size\": 1.5}]}":   "line 2: items[1].size: is the number 1.5; use an integer",
		"{\"items\": [{\"open\": 1}]}":          "line 1: items[0].open: is the number 1; use true or false",
		"{\"named\": []}":                       "line 1: named: is an array; use an object",
		"{\"named\": {\"a\": {\n\"sise\": 1}}}": "line 2: named.a.sise: is not a known field; use one of: open, size",
		"{\"named\": {\"a\": {},\n\"a\": {}}}":  "line 2: named.a: is given twice; remove the duplicate",
		"{\"x\": 1, \"x\": 2}":                  "line 1: x: is not a known field; use one of: count, items, name, named, share\nline 1: x: is given twice; remove the duplicate",
		"{\"hidden\": 1}":                       "line 1: hidden: is not a known field; use one of: count, items, name, named, share",
		"{\n\"name\": }":                        "line 2: column 9: invalid character '}' at start of value; correct the JSON syntax",
		"[]":                                    "line 1: is an array; use an object",
	} {
		var loaded document
		_, faults := strictjson.Decode([]byte(text), &loaded)
		gomega.NewWithT(t).Expect(faults.Error()).To(gomega.Equal(want), text)
	}
}

func TestDecodeSetsDefaultsInMapsAndLists(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	var loaded document
	source, faults := strictjson.Decode([]byte(`{"items": [{}, {"size": 2}], "named": {"a": {"open": true}}, /* end */ }`), &loaded)
	expect(faults.Err()).To(gomega.Succeed())
	expect(loaded.Items).To(gomega.Equal([]item{{Size: 7}, {Size: 2}}))
	expect(loaded.Named["a"]).To(gomega.Equal(item{Size: 7, Open: true}))
	expect(source.Has("items[1].size")).To(gomega.BeTrue())
	expect(source.Has("items[0].size")).To(gomega.BeFalse())
}
