package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;

/** Prints the version of this build. */
@Command(name = "version", description = "Print the version.")
public final class VersionCommand extends CliCommand {
  private static final String DEVELOPMENT_VERSION = "development";

  /** Creates the command; called by the command-line parser. */
  public VersionCommand() {}

  @Override
  protected ExitCode run() {
    String version = Main.class.getPackage().getImplementationVersion();
    System.out.println("radishpost " + (version == null ? DEVELOPMENT_VERSION : version));
    return ExitCode.OK;
  }
}
