package org.radishpost.bench;

import java.util.ArrayList;
import java.util.List;
import org.radishpost.bench.LoadPlan.EventPlan;
import org.radishpost.errors.SettingsException;
import org.radishpost.lib.Place;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.TargetSpec;
import org.radishpost.settings.NodeSettings;

/** The scripted events of a measurement: they begin after a third of it and end after two. */
public final class ScenarioEvents {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int PARTS = 3;
  private static final String NOTHING_WRONG = "{}";

  private final Manifest manifest;
  private final NodeSettings vm;
  private final String token;
  private final long beginMillis;
  private final long endMillis;

  /**
   * Creates the events of one deployment.
   *
   * @param manifest the gateway, for the addresses of its targets
   * @param vm a VM outside the zone that the events are about, whose administration is asked
   * @param token the token of an operator
   * @param seconds the measured time
   */
  public ScenarioEvents(Manifest manifest, NodeSettings vm, String token, int seconds) {
    this.manifest = manifest;
    this.vm = vm;
    this.token = token;
    this.beginMillis = seconds * MILLIS_PER_SECOND / PARTS;
    this.endMillis = 2 * beginMillis;
  }

  /**
   * Returns the events of a scenario.
   *
   * @throws SettingsException if there is no scenario of that name
   */
  public List<EventPlan> of(String scenario) throws SettingsException {
    return switch (scenario) {
      case "steady" -> List.of();
      case "zone" -> List.of(service(beginMillis, true), service(endMillis, false));
      case "slow" -> targets("slow", "{\"slowFactor\":4}");
      case "cold" -> targets("cold", "{\"coldAgain\":true}");
      case "log-outage" ->
          List.of(
              put(beginMillis, "log down", vm.platform().log() + "/faults", "{\"down\":true}"),
              put(endMillis, "log back", vm.platform().log() + "/faults", NOTHING_WRONG));
      default ->
          throw new SettingsException(
              "There is no scenario '"
                  + scenario
                  + "': take steady, zone, slow, cold or log-outage.");
    };
  }

  private Place place() {
    return manifest.services().getFirst().targets().getFirst().place();
  }

  private EventPlan service(long atMillis, boolean out) {
    String zone = place().zone().value();
    return new EventPlan(
        atMillis,
        zone + (out ? " out" : " in"),
        "POST",
        "http://" + vm.admin() + "/v1/service?operation=bench-" + atMillis,
        "{\"scope\":\"zone\",\"name\":\"" + zone + "\",\"out\":" + out + ",\"baseVersion\":-1}",
        token);
  }

  private List<EventPlan> targets(String label, String fault) {
    List<EventPlan> events = new ArrayList<>();
    String name = place().zone() + " " + label;
    for (TargetSpec target : manifest.services().getFirst().targets()) {
      if (target.place().equals(place())) {
        String address = target.address() + "/control";
        events.add(put(beginMillis, name, address, fault));
        events.add(put(endMillis, "", address, NOTHING_WRONG));
        name = "";
      }
    }
    return events;
  }

  private static EventPlan put(long atMillis, String label, String address, String body) {
    return new EventPlan(atMillis, label, "PUT", "http://" + address, body, "");
  }
}
