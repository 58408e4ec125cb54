package gossip

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/route"
)

// maxConfigBytes bounds a configuration that is received from a peer.
const maxConfigBytes = 32 << 20

// errConfigTooLong is returned for a configuration of more than maxConfigBytes.
var errConfigTooLong = errors.New("configuration exceeds the size limit")

// packer compresses configurations and keeps the last one, since many peers request the same one. It is safe for
// concurrent use.
type packer struct {
	mu     sync.Mutex
	stamp  route.Stamp
	packed []byte
}

// pack returns a configuration in compressed form.
func (k *packer) pack(p Published) ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.packed != nil && k.stamp == p.Stamp {
		return k.packed, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(p.Raw)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	k.stamp, k.packed = p.Stamp, b.Bytes()
	return k.packed, nil
}

// unpack is the inverse of pack.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(raw) > maxConfigBytes {
		return nil, errConfigTooLong
	}
	return raw, nil
}
