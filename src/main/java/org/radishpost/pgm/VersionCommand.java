package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;

/** Prints the version. */
@Command(name = "version", description = "Print the version.")
public final class VersionCommand extends PgmCommand {
  private static final String NOT_PACKAGED = "development";

  /** Creates the command. */
  public VersionCommand() {}

  @Override
  protected ExitCode run() {
    String version = Main.class.getPackage().getImplementationVersion();
    System.out.println("radishpost " + (version == null ? NOT_PACKAGED : version));
    return ExitCode.OK;
  }
}
