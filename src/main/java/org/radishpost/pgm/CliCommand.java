package org.radishpost.pgm;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import org.radishpost.errors.RadishpostException;

/** One command of the command line. */
public abstract class CliCommand {
  @AirlineModule private HelpOption<CliCommand> help;

  /** Creates a command; the parser sets its options. */
  protected CliCommand() {}

  /**
   * Shows the command's help page if it was asked for, else runs the command.
   *
   * @return how it ended
   * @throws RadishpostException if it failed, with a message that names the remedy
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
   * @return how it ended
   * @throws RadishpostException if it failed, with a message that names the remedy
   */
  protected abstract ExitCode run() throws RadishpostException;
}
