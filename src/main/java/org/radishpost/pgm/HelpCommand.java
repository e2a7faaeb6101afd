package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.SettingsException;
import org.radishpost.errors.StartException;

/** Prints the list of commands or the help page of one command. */
@Command(name = "help", description = "Print the commands, or the help page of one command.")
public final class HelpCommand extends CliCommand {
  @AirlineModule private GlobalMetadata<CliCommand> metadata;

  @Arguments(description = "The command whose page is wanted.")
  private List<String> words = new ArrayList<>();

  /** Creates the command; called by the command-line parser. */
  public HelpCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    if (!words.isEmpty() && !isKnown(words.getFirst())) {
      throw new SettingsException(
          "There is no command '" + words.getFirst() + "': see radishpost help.");
    }
    try {
      Help.help(metadata, words, System.out);
      return ExitCode.OK;
    } catch (IOException e) {
      throw new StartException("The help page could not be printed: check standard output.", e);
    }
  }

  private boolean isKnown(String word) {
    return Stream.concat(
            metadata.getDefaultGroupCommands().stream().map(CommandMetadata::getName),
            metadata.getCommandGroups().stream().map(CommandGroupMetadata::getName))
        .anyMatch(word::equals);
  }
}
