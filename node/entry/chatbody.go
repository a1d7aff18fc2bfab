package entry

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// withModel returns a JSON object with another value of the field "model", which comes first. It allocates twice the object's size,
// whatever its fields are: a map of many short fields takes 15 times that.
func withModel(raw []byte, model string) ([]byte, error) {
	value, err := json.Marshal(model)
	if err != nil {
		return nil, errors.Wrap(err, "encode model")
	}
	compact := bytes.NewBuffer(make([]byte, 0, len(raw)))
	if err := json.Compact(compact, raw); err != nil {
		return nil, errors.Wrap(err, "compact body")
	}
	in := compact.Bytes()
	if len(in) == 0 || in[0] != '{' {
		return nil, errors.New("the body is not a JSON object")
	}
	const first = `{"model":`
	out := make([]byte, 0, len(first)+len(value)+len(in))
	out = append(append(out, first...), value...)
	for i := 1; in[i] != '}'; {
		if in[i] == ',' {
			i++
		}
		keyEnd := stringEnd(in, i)
		end := valueEnd(in, keyEnd+1)
		if !isModelKey(in[i:keyEnd]) {
			out = append(append(out, ','), in[i:end]...)
		}
		i = end
	}
	return append(out, '}'), nil
}

// isModelKey reports whether a key, with its quotes, is "model".
func isModelKey(key []byte) bool {
	if bytes.IndexByte(key, '\\') < 0 {
		return string(key) == `"model"`
	}
	var text string
	return json.Unmarshal(key, &text) == nil && text == "model"
}

// stringEnd returns the position after the string that begins at i in valid JSON.
func stringEnd(in []byte, i int) int {
	for i++; in[i] != '"'; i++ {
		if in[i] == '\\' {
			i++
		}
	}
	return i + 1
}

// valueEnd returns the position after the value that begins at i within an object of valid JSON without spaces.
func valueEnd(in []byte, i int) int {
	for depth := 0; ; {
		switch in[i] {
		case '"':
			i = stringEnd(in, i)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i
			}
			depth--
		case ',':
			if depth == 0 {
				return i
			}
		}
		i++
	}
}
