package configuration

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
)

// shownDigestBytes is how much of the SHA-256 of a key is shown in its place: enough to
// tell the keys of a user apart, too little to recover one.
const shownDigestBytes = 4

// HideKeys replaces each key of a customer in a text by the beginning of its SHA-256, as
// in "key-5f0c31aa", so that the text can be shown. Comments and layout stay.
func HideKeys(text []byte) ([]byte, error) {
	root, err := hujson.Parse(append([]byte(nil), text...))
	if err != nil {
		return nil, fmt.Errorf("parse the configuration: %w", err)
	}
	hideKeys(root)
	return root.Pack(), nil
}

func hideKeys(root hujson.Value) {
	customers, _ := member(root, "customers").(*hujson.Object)
	if customers == nil {
		return
	}
	for _, customer := range customers.Members {
		keys, _ := member(customer.Value, "keys").(*hujson.Array)
		if keys == nil {
			continue
		}
		for index := range keys.Elements {
			keys.Elements[index].Value = hiddenKey(keys.Elements[index].Value)
		}
	}
}

// member returns the value of a member of an object, or nil.
func member(value hujson.Value, name string) hujson.ValueTrimmed {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for _, entry := range object.Members {
		if entry.Name.Value.(hujson.Literal).String() == name {
			return entry.Value.Value
		}
	}
	return nil
}

func hiddenKey(value hujson.ValueTrimmed) hujson.ValueTrimmed {
	var key string
	literal, ok := value.(hujson.Literal)
	if !ok || json.Unmarshal(literal, &key) != nil {
		return hujson.String("(hidden)")
	}
	digest := digestOfKey(key)
	return hujson.String("key-" + hex.EncodeToString(digest[:shownDigestBytes]))
}
