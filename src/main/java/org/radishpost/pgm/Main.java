package org.radishpost.pgm;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.radishpost.errors.ManifestException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.SettingsException;

/** The entry point of the command line. */
@com.github.rvesse.airline.annotations.Cli(
    name = "radishpost",
    description = "A load balancer for servers whose load shifts in milliseconds.",
    defaultCommand = HelpCommand.class,
    commands = {
      HelpCommand.class,
      VersionCommand.class,
      ServeCommand.class,
      EntryCommand.class,
      TrainCommand.class,
      DemoCommand.class,
      BenchCommand.class,
      CheckCommand.class,
      PublishCommand.class,
      ShowCommand.class,
      ZoneCommand.class,
      RegionCommand.class,
      VmCommand.class,
      StatusCommand.class,
      TimelineCommand.class,
      ModelCommand.class,
    },
    groups = {
      @Group(
          name = "standin",
          description = "Stand-ins of the platform and of targets, for tests and measurements.",
          commands = {StandinLogCommand.class, StandinTargetsCommand.class}),
    })
public final class Main {
  private Main() {}

  /** Runs the command that the arguments specify and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  /**
   * Runs the command that the arguments specify.
   *
   * @return the number of an {@link ExitCode}
   */
  static int run(String... args) {
    try {
      return parseCommand(args).execute().number();
    } catch (ParseException e) {
      System.err.println(e.getMessage() + ": see radishpost --help.");
      return ExitCode.USAGE.number();
    } catch (SettingsException | ManifestException e) {
      System.err.println(e.getMessage());
      return ExitCode.USAGE.number();
    } catch (RadishpostException e) {
      System.err.println(e.getMessage());
      return ExitCode.FAILED.number();
    }
  }

  /**
   * Returns the command that the arguments specify.
   *
   * <p>The entry command without options bypasses the parser, because the initialization of the
   * parser takes longer than the start of the entry itself.
   */
  private static CliCommand parseCommand(String[] args) {
    if (args.length == 1 && args[0].equals(EntryCommand.NAME)) {
      return new EntryCommand();
    }
    return new Cli<CliCommand>(Main.class).parse(replaceAliases(args));
  }

  private static String[] replaceAliases(String[] args) {
    if (args.length == 0) {
      return args;
    }
    String[] replaced = args.clone();
    replaced[0] =
        switch (args[0]) {
          case "--help", "-h" -> "help";
          case "--version" -> "version";
          default -> args[0];
        };
    return replaced;
  }
}
