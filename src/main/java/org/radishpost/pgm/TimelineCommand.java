package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.radishpost.admin.TimelineJson;
import org.radishpost.errors.RadishpostException;
import org.radishpost.events.Event;
import org.radishpost.events.Timelines;

/** Merges the time lines of VMs. */
@Command(
    name = "timeline",
    description = "Print the events of several VMs as one time line, causes before effects.")
public final class TimelineCommand extends AdminCommand {
  @Arguments(title = "IP:PORT", description = "The administration addresses of the VMs.")
  @Required
  private List<String> addresses = new ArrayList<>();

  @Option(
      name = {"--json"},
      description = "Print JSON lines instead of text.")
  private boolean json;

  /** Creates the command. */
  public TimelineCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    List<List<Event>> lines = new ArrayList<>();
    for (String address : addresses) {
      AdminClient client = new AdminClient(address(address), token());
      lines.add(TimelineJson.read(client.get("/v1/timeline")));
    }
    for (Event event : Timelines.merge(lines)) {
      System.out.println(json ? TimelineJson.of(event).toString() : text(event));
    }
    return ExitCode.OK;
  }

  private static String text(Event event) {
    String fields =
        event.fields().stream()
            .map(field -> " " + field.name() + "=" + field.value())
            .collect(Collectors.joining());
    return event.timestamp().format()
        + " "
        + event.vm()
        + " "
        + event.code().number()
        + " "
        + event.code()
        + fields;
  }
}
