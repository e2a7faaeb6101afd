package org.radishpost.bench;

import java.util.ArrayList;
import java.util.List;
import org.radishpost.bench.LoadPlan.EventPlan;
import org.radishpost.errors.SettingsException;
import org.radishpost.lib.Place;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.TargetSpec;
import org.radishpost.settings.NodeSettings;

/**
 * Creates the scripted events of a scenario. A fault starts after one third of the measurement and
 * ends after two thirds.
 */
public final class ScenarioEvents {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int PHASES = 3;
  private static final String NO_FAULTS = "{}";

  private final Manifest manifest;
  private final NodeSettings adminVm;
  private final String token;
  private final long beginMillis;
  private final long endMillis;

  /**
   * Creates a source of events for one deployment.
   *
   * @param manifest the manifest of the gateway, which contains the target addresses
   * @param adminVm a VM outside the affected zone; its admin endpoint receives the requests
   * @param token the bearer token of an operator
   * @param measuredSeconds the duration of the measurement, without the warm-up
   */
  public ScenarioEvents(
      Manifest manifest, NodeSettings adminVm, String token, int measuredSeconds) {
    this.manifest = manifest;
    this.adminVm = adminVm;
    this.token = token;
    this.beginMillis = measuredSeconds * MILLIS_PER_SECOND / PHASES;
    this.endMillis = 2 * beginMillis;
  }

  /**
   * Returns the events of a scenario.
   *
   * @throws SettingsException if the scenario does not exist
   */
  public List<EventPlan> forScenario(String scenario) throws SettingsException {
    return switch (scenario) {
      case "steady" -> List.of();
      case "zone" -> List.of(zoneEvent(beginMillis, true), zoneEvent(endMillis, false));
      case "slow" -> targetEvents("slow", "{\"slowFactor\":4}");
      case "cold" -> targetEvents("cold", "{\"coldAgain\":true}");
      case "log-outage" ->
          List.of(
              putRequest(
                  beginMillis, "log down", adminVm.platform().log() + "/faults", "{\"down\":true}"),
              putRequest(endMillis, "log back", adminVm.platform().log() + "/faults", NO_FAULTS));
      default ->
          throw new SettingsException(
              "Unknown scenario '" + scenario + "'. Use steady, zone, slow, cold or log-outage.");
    };
  }

  private Place affectedPlace() {
    return manifest.services().getFirst().targets().getFirst().place();
  }

  private EventPlan zoneEvent(long atMillis, boolean out) {
    String zone = affectedPlace().zone().value();
    return new EventPlan(
        atMillis,
        zone + (out ? " out" : " in"),
        "POST",
        "http://" + adminVm.admin() + "/v1/service?operation=bench-" + atMillis,
        "{\"scope\":\"zone\",\"name\":\"" + zone + "\",\"out\":" + out + ",\"baseVersion\":-1}",
        token);
  }

  private List<EventPlan> targetEvents(String label, String control) {
    List<EventPlan> events = new ArrayList<>();
    String nextLabel = affectedPlace().zone() + " " + label;
    for (TargetSpec target : manifest.services().getFirst().targets()) {
      if (target.place().equals(affectedPlace())) {
        String address = target.address() + "/control";
        events.add(putRequest(beginMillis, nextLabel, address, control));
        events.add(putRequest(endMillis, "", address, NO_FAULTS));
        nextLabel = "";
      }
    }
    return events;
  }

  private static EventPlan putRequest(long atMillis, String label, String address, String body) {
    return new EventPlan(atMillis, label, "PUT", "http://" + address, body, "");
  }
}
