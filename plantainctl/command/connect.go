package command

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainctl/operator"
)

// Environment variables: the instances are read from envInstances if the flag --instance is not given, and the
// credential itself from envCredential if --credential-file is not given.
const (
	envInstances  = "PLANTAINCTL_INSTANCES"
	envCredential = "PLANTAINCTL_CREDENTIAL"
)

func rootFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    "instance",
			Aliases: []string{"i"},
			Usage:   "`ADDRESS` (IP:PORT) of an instance's listener for operators; may be repeated, tried in order",
			Sources: cli.EnvVars(envInstances),
		},
		&cli.StringFlag{
			Name:  "credential-file",
			Usage: "`FILE` with the operator's credential; default: the value of the variable " + envCredential,
		},
		&cli.DurationFlag{
			Name:  "timeout",
			Usage: "maximum `DURATION` of one call to one instance",
			Value: operator.DefaultTimeout,
		},
		&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
	}
}

// connect returns a client for the instances and the credential of the root flags. It makes no call yet.
func connect(c *cli.Command) (*operator.Client, error) {
	addresses := c.StringSlice("instance")
	if len(addresses) == 0 {
		return nil, errors.Wrap(ErrUsage, "no --instance is given and "+envInstances+" is not set")
	}
	credential := os.Getenv(envCredential)
	if file := c.String("credential-file"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read credential file")
		}
		credential = strings.TrimSpace(string(text))
	}
	if credential == "" {
		return nil, errors.Wrap(ErrUsage, "no --credential-file is given and "+envCredential+" is not set")
	}
	return operator.New(addresses, credential, operator.WithTimeout(c.Duration("timeout"))), nil
}
