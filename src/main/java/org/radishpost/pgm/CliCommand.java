package org.radishpost.pgm;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import org.radishpost.errors.RadishpostException;

/** A command of the command line. */
public abstract class CliCommand {
  @AirlineModule private HelpOption<CliCommand> help;

  /** Creates a command; the command-line parser sets its options. */
  protected CliCommand() {}

  /**
   * Prints the help page if the help option is present; otherwise runs the command.
   *
   * @return the exit code
   * @throws RadishpostException if the command failed; the message names the remedy
   */
  final ExitCode execute() throws RadishpostException {
    if (help != null && help.showHelpIfRequested()) {
      return ExitCode.OK;
    }
    return run();
  }

  /**
   * Runs the command.
   *
   * @return the exit code
   * @throws RadishpostException if the command failed; the message names the remedy
   */
  protected abstract ExitCode run() throws RadishpostException;
}
