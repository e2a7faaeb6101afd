package org.radishpost.pgm;

/** The exit codes of all commands. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The command failed; the message on standard error names the remedy. */
  FAILED(1),
  /** The command line, the settings or the manifest is invalid. */
  USAGE(2),
  /** No suitable Java runtime was found; returned by the start script. */
  NO_JAVA(3),
  /** The system refused the change. */
  REFUSED(4),
  /** The outcome of the change is unknown; run the command again with the same operation ID. */
  UNKNOWN(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }
}
