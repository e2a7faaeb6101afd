package org.radishpost.pgm;

/** The exit codes of all commands. */
public enum ExitCode {
  /** The command did what it was asked for. */
  OK(0),
  /** The command failed; standard error names the remedy. */
  FAILED(1),
  /** The command line, the settings or a manifest is not acceptable. */
  USAGE(2),
  /** No suitable Java was found; used by the start script. */
  NO_JAVA(3),
  /** The system refused the change. */
  REFUSED(4),
  /** The outcome is not known: ask again with the same operation id. */
  UNKNOWN(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the number that the process exits with. */
  public int number() {
    return number;
  }
}
