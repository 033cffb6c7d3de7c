package command

import (
	"encoding/json"
	"net/http"
	"time"

	"rosemarylb/internal/peer/operator"

	"github.com/cockroachdb/errors"
)

// callTimeout bounds a call to an instance.
const callTimeout = 3 * time.Second

// fetch reads a JSON answer of an instance.
func fetch(address, path string, into any) error {
	client := &http.Client{
		Timeout: callTimeout,
	}
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return errors.Wrap(err, "ask the instance")
	}
	defer func() {
		_ = answer.Body.Close()
	}()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("the instance answered with status %d", answer.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(answer.Body).Decode(into), "read the answer")
}

type dumpCommand struct {
	*shell

	Operator string `long:"operator" env:"ROSEMARYLB_OPERATOR_ADDRESS" default:"127.0.0.1:6434" description:"operator address of the instance"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	var d operator.Dump
	if err := fetch(c.Operator, "/dump", &d); err != nil {
		return err
	}
	return printJSON(c.shell, d)
}

type drainCommand struct {
	*shell

	Operator string `long:"operator" env:"ROSEMARYLB_OPERATOR_ADDRESS" default:"127.0.0.1:6434" description:"operator address of the instance"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	client := &http.Client{
		Timeout: callTimeout,
	}
	answer, err := client.Post("http://"+c.Operator+"/drain", "text/plain", nil)
	if err != nil {
		return errors.Wrap(err, "ask the instance")
	}
	defer func() {
		_ = answer.Body.Close()
	}()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("the instance answered with status %d", answer.StatusCode)
	}
	_, err = c.out.Write([]byte("draining\n"))
	return errors.Wrap(err, "print")
}
