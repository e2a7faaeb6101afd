package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.radishpost.admin.EventJson;
import org.radishpost.errors.RadishpostException;
import org.radishpost.events.Event;
import org.radishpost.events.Timelines;

/** Prints the events of several VMs as one timeline. */
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

  /** Creates the command; called by the command-line parser. */
  public TimelineCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    List<List<Event>> eventsByVm = new ArrayList<>();
    for (String address : addresses) {
      AdminClient client = new AdminClient(parseAddress(address), token());
      eventsByVm.add(EventJson.read(client.get("/v1/timeline")));
    }
    for (Event event : Timelines.merge(eventsByVm)) {
      System.out.println(json ? EventJson.of(event).toString() : format(event));
    }
    return ExitCode.OK;
  }

  private static String format(Event event) {
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
