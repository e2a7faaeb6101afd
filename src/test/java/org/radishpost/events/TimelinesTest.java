package org.radishpost.events;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.radishpost.lib.VmId;
import org.testng.annotations.Test;

/** Tests the causal order of merged timelines and the table of events in docs/EVENTS.md. */
public class TimelinesTest {
  private static final Pattern ROW =
      Pattern.compile("\\| (\\d{4}) \\| ([A-Z_]+) \\| ([A-Z]+) \\|.+\\|.+\\|.+\\|");

  @Test
  public void effectFollowsCauseDespiteClockSkew() {
    HybridClock ahead = new HybridClock(() -> 50_000);
    HybridClock behind = new HybridClock(() -> 10_000);
    Event cause = event("vm-ahead", ahead.next());
    behind.merge(EventTimestamp.parse(ahead.next().format()));
    Event effect = event("vm-behind", behind.next());
    ahead.merge(behind.next());
    Event last = event("vm-ahead", ahead.next());
    assertEquals(
        Timelines.merge(List.of(List.of(effect), List.of(cause, last))),
        List.of(cause, effect, last));
    Event unrelated = event("vm-behind", new HybridClock(() -> 10_000).next());
    assertEquals(
        Timelines.merge(List.of(List.of(cause), List.of(unrelated))), List.of(unrelated, cause));
  }

  @Test
  public void pageDescribesExactlyTheDefinedEvents() throws IOException {
    List<String> page = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of("docs/EVENTS.md"))) {
      Matcher matcher = ROW.matcher(line);
      if (matcher.matches()) {
        page.add(matcher.group(1) + " " + matcher.group(2) + " " + matcher.group(3));
      }
    }
    List<String> code =
        Arrays.stream(EventCode.values())
            .map(event -> event.number() + " " + event.name() + " " + event.level())
            .toList();
    assertEquals(page, code);
    assertTrue(
        Arrays.stream(EventCode.values()).mapToInt(EventCode::number).distinct().count()
            == code.size());
  }

  private static Event event(String vm, EventTimestamp timestamp) {
    return new Event(timestamp, new VmId(vm), 1, EventCode.STARTED, List.of());
  }
}
