package command

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const (
	generatedKeyBytes = 32
	// maxKeyBytes bounds how much of the input is read; the rest is ignored.
	maxKeyBytes = 4 << 10
)

func init() { register(newHashKey) }

func newHashKey() *cli.Command {
	return &cli.Command{
		Name:      "hash-key",
		Usage:     "print the SHA-256 of a key in the form that contracts and settings use",
		ArgsUsage: "[FILE]",
		Description: withExamples(
			"Reads the key from FILE or from standard input and removes surrounding white space. With --generate, makes a\n"+
				"new key of 256 random bits, and prints the key and then its SHA-256.",
			"plantainctl hash-key < hostel.key",
			"plantainctl hash-key --generate --json",
		),
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "generate", Usage: "generate a new key"}},
		Action: runHashKey,
	}
}

// hashedKey is the JSON output of hash-key. Key is set only if it was generated.
type hashedKey struct {
	Key    string `json:"key,omitempty"`
	SHA256 string `json:"sha256"`
}

func runHashKey(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 0, 1)
	if err != nil {
		return err
	}
	if c.Bool("generate") && len(args) > 0 {
		return errors.Wrapf(ErrUsage, "--generate takes no FILE, got %q", args[0])
	}
	key, err := readOrGenerateKey(c, args)
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(key))
	h := hashedKey{SHA256: hex.EncodeToString(sum[:])}
	if c.Bool("generate") {
		h.Key = key
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, h)
	}
	if h.Key != "" {
		fmt.Fprintln(c.Root().Writer, h.Key)
	}
	_, err = fmt.Fprintln(c.Root().Writer, h.SHA256)
	return err
}

// readOrGenerateKey returns a new random key with --generate, or else the key in the file args[0] or in standard input.
func readOrGenerateKey(c *cli.Command, args []string) (string, error) {
	if c.Bool("generate") {
		b := make([]byte, generatedKeyBytes)
		_, err := rand.Read(b)
		return base64.RawURLEncoding.EncodeToString(b), errors.Wrap(err, "generate key")
	}
	in := c.Root().Reader
	if len(args) > 0 {
		f, err := os.Open(args[0])
		if err != nil {
			return "", errors.Wrap(err, "read key")
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, maxKeyBytes))
	if err != nil {
		return "", errors.Wrap(err, "read key")
	}
	key := strings.TrimSpace(string(text))
	if key == "" {
		return "", errors.Wrap(ErrUsage, "the key in FILE or standard input is empty")
	}
	return key, nil
}
