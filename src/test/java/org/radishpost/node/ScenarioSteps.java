package org.radishpost.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.PublishResult;
import org.radishpost.config.Scope;
import org.radishpost.http.HeaderNames;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.standin.LogFaults;

/** The step definitions of the scenarios. */
public class ScenarioSteps {
  private ScenarioSimulation simulation;
  private long seed;
  private long lastChangeMillis;
  private long startMillis;
  private String lastKey;
  private final List<PublishResult> publishResults = new ArrayList<>();

  /** Prints the seed and the timeline of a scenario that failed. */
  @After
  public void printFailedScenario(Scenario scenario) {
    if (scenario.isFailed() && simulation != null) {
      scenario.log("seed " + seed + "\n" + simulation.formatTimeline());
      System.out.println("seed " + seed + "\n" + simulation.formatTimeline());
    }
  }

  /** Starts a deployment with a seed. */
  @Given("a deployment with seed {long}")
  public void startDeployment(long newSeed) {
    seed = newSeed;
    simulation = new ScenarioSimulation(newSeed);
    startMillis = simulation.targets.nowMillis();
  }

  /** Sends calls at a steady rate. */
  @When("{string} calls come at {int} per second for {int} seconds")
  public void sendCalls(String path, int perSecond, int seconds) {
    simulation.sendCalls(path, perSecond, Duration.ofSeconds(seconds));
  }

  /** Advances the time without sending calls. */
  @When("{int} seconds pass")
  public void advance(int seconds) {
    simulation.advance(Duration.ofSeconds(seconds));
  }

  /** Sends a signing request with a new key. */
  @When("a signing is sent through {string}")
  public void sendNewSigning(String vm) {
    lastKey = simulation.newKey();
    resendSigning(vm);
  }

  /** Sends the last signing request again. */
  @When("the same signing is sent through {string}")
  public void resendSigning(String vm) {
    simulation.send(simulation.vms.get(vm), "/sign", Map.of(HeaderNames.IDEMPOTENCY_KEY, lastKey));
    simulation.advance(Duration.ofMillis(5));
  }

  /** Sends signing requests, each several times through random VMs within a short time. */
  @When("{int} signings are each sent {int} times through any VM")
  public void sendSignings(int count, int times) {
    for (int i = 0; i < count; i++) {
      String newKey = simulation.newKey();
      for (int j = 0; j < times; j++) {
        simulation
            .readyVm()
            .ifPresent(
                vm -> simulation.send(vm, "/sign", Map.of(HeaderNames.IDEMPOTENCY_KEY, newKey)));
        simulation.advance(Duration.ofMillis(simulation.random.nextInt(30)));
      }
    }
  }

  /** Sends a target-crashing request several times, with other calls in between. */
  @When("a {string} request that crashes targets is sent {int} times")
  public void sendCrashingRequests(String path, int times) {
    simulation.targets.all().forEach(target -> target.crashMarker = "poison");
    for (int i = 0; i < times; i++) {
      simulation
          .readyVm()
          .ifPresent(
              vm -> simulation.send(vm, path, Map.of(ScenarioTargets.CRASH_FIELD, "poison")));
      simulation.sendCalls("/lookup", 50, Duration.ofMillis(500));
    }
  }

  /** Takes a zone, a region or a VM out of service or back into service. */
  @When("operators take {word} {string} {word}")
  public void setService(String kind, String name, String direction) {
    lastChangeMillis = simulation.targets.nowMillis();
    simulation.setService(Scope.Kind.valueOf(kind.toUpperCase()), name, direction.equals("out"));
  }

  /** Publishes the manifest on two VMs concurrently, with the same base version. */
  @When("two operators publish on the same base")
  public void publishConcurrently() {
    long base = simulation.vms.values().iterator().next().core.config().current().version();
    ConfigChange change = new ConfigChange.Publish(ScenarioManifest.of(simulation.specs(), base));
    int i = 0;
    for (ScenarioVm vm : simulation.vms.values()) {
      if (i < 2) {
        vm.core
            .config()
            .publish("race-" + i, change, Duration.ofSeconds(20))
            .subscribe(publishResults::add);
      }
      i++;
    }
    lastChangeMillis = simulation.targets.nowMillis();
    simulation.advance(Duration.ofSeconds(1));
  }

  /** Starts or ends a fault of the targets of a zone. */
  @When("the targets of {string} {word} {word}")
  public void setTargetFault(String zone, String verb, String fault) {
    simulation.record(zone + " " + verb + " " + fault);
    boolean on = verb.equals("become");
    lastChangeMillis = simulation.targets.nowMillis();
    for (ScenarioTarget target : simulation.targets.inZone(zone)) {
      switch (fault) {
        case "slow" -> target.slowFactor = on ? 8 : 1;
        case "silent" -> target.silent = on;
        case "down" -> target.down = on;
        case "draining" -> target.draining = on;
        case "failing" -> target.failFast = on;
        case "cold" -> simulation.targets.restart(target);
        default -> throw new IllegalArgumentException(fault);
      }
    }
  }

  /** Starts or ends a fault of the log. */
  @When("the log {word} {word}")
  public void setLogFault(String verb, String fault) {
    simulation.record("log " + verb + " " + fault);
    boolean on = verb.equals("becomes");
    simulation.log.setFaults(
        switch (fault) {
          case "down" -> new LogFaults(on, Duration.ZERO, 0, 0);
          case "slow" -> new LogFaults(false, Duration.ofMillis(on ? 300 : 0), 0, 0);
          case "forgetful" -> new LogFaults(false, Duration.ZERO, on ? 5 : 0, on ? 5 : 0);
          default -> throw new IllegalArgumentException(fault);
        });
  }

  /** Pauses, resumes, kills or replaces a VM. */
  @When("VM {string} is {word}")
  public void changeVm(String name, String action) {
    simulation.record(name + " " + action);
    ScenarioVm vm = simulation.vms.get(name);
    switch (action) {
      case "paused" -> vm.pause(simulation.network);
      case "resumed" -> vm.resume(simulation.network);
      case "killed" -> vm.kill(simulation.network);
      case "replaced" -> simulation.replace(name);
      default -> throw new IllegalArgumentException(action);
    }
  }

  /** Replaces all VMs, one after another. */
  @When("every VM is replaced")
  public void replaceAllVms() {
    for (String name : List.copyOf(simulation.vms.keySet())) {
      simulation.replace(name);
      simulation.advance(Duration.ofMillis(300));
    }
  }

  /** Breaks or restores the links between two regions. */
  @When("regions {string} and {string} are {word}")
  public void setRegionLinks(String one, String two, String action) {
    simulation.record(one + " " + action + " " + two);
    for (ScenarioVm vmOne : simulation.vms.values()) {
      for (ScenarioVm vmTwo : simulation.vms.values()) {
        if (region(vmOne).equals(one) && region(vmTwo).equals(two)) {
          simulation.network.setPartitioned(
              vmOne.entry.id(), vmTwo.entry.id(), action.equals("parted"));
        }
      }
    }
  }

  /** Breaks the links between one VM and all others. */
  @When("VM {string} loses its links")
  public void cutAllLinks(String name) {
    VmId id = simulation.vms.get(name).entry.id();
    simulation.vms.values().stream()
        .map(vm -> vm.entry.id())
        .filter(other -> !other.equals(id))
        .forEach(other -> simulation.network.setPartitioned(id, other, true));
  }

  /** Checks that every request has a response by its deadline. */
  @Then("every request got an answer")
  public void everyRequestReceivedResponse() {
    simulation.advance(ScenarioSimulation.DEADLINE.plusMillis(200));
    List<ScenarioCall> open =
        simulation.calls.stream()
            .filter(call -> call.response.isEmpty() && !call.vm.wasKilled() && !call.vm.paused())
            .toList();
    assertEquals(open, List.of());
    assertTrue(!simulation.calls.isEmpty(), "no calls were sent");
  }

  /** Checks that no request that was reported as not run has run. */
  @Then("every not-run is true")
  public void notRunRequestsNeverRan() {
    for (ScenarioCall call : simulation.calls) {
      if (call.isNotRun()) {
        assertEquals(simulation.targets.runsOf(call.request), 0, call.toString());
      }
    }
  }

  /** Checks that no idempotency key ran twice. */
  @Then("no signing ran twice")
  public void noSigningRanTwice() {
    simulation.targets.all().stream()
        .flatMap(target -> target.runs.keySet().stream())
        .forEach(usedKey -> assertEquals(simulation.targets.runsOfKey(usedKey), 1, usedKey));
  }

  /** Checks the number of idempotency keys that have run. */
  @Then("{int} signings ran")
  public void signingsRan(int count) {
    long keys =
        simulation.targets.all().stream()
            .flatMap(target -> target.runs.keySet().stream())
            .distinct()
            .count();
    assertEquals(keys, count);
  }

  /** Checks the percentage of successful requests since the start. */
  @Then("at least {int} percent of the requests were answered")
  public void successShareOfAll(int percent) {
    assertSuccessShare(percent, startMillis, Long.MAX_VALUE);
  }

  /** Checks the percentage of successful requests in the last seconds. */
  @Then("at least {int} percent of the requests of the last {int} seconds were answered")
  public void successShareOfLast(int percent, int seconds) {
    long now = simulation.targets.nowMillis();
    assertSuccessShare(
        percent, now - 1_000L * seconds, now - ScenarioSimulation.DEADLINE.toMillis());
  }

  private void assertSuccessShare(int percent, long from, long to) {
    List<ScenarioCall> sent =
        simulation.calls.stream().filter(c -> c.sentMillis >= from && c.sentMillis < to).toList();
    long successful = sent.stream().filter(ScenarioCall::isSuccessful).count();
    assertTrue(!sent.isEmpty(), "no calls");
    assertTrue(
        100 * successful >= (long) percent * sent.size(),
        successful
            + " of "
            + sent.size()
            + " succeeded; the others: "
            + sent.stream().filter(c -> !c.isSuccessful()).toList());
  }

  /** Checks that cold targets never ran more calls than their limit. */
  @Then("no cold target had more than it bears")
  public void coldTargetsStayWithinLimit() {
    simulation
        .targets
        .all()
        .forEach(
            t ->
                assertTrue(
                    t.maxRunningWhileCold <= ScenarioTarget.MAX_COLD_CALLS,
                    "" + t.maxRunningWhileCold));
  }

  /** Checks that load probes stayed within the budget. */
  @Then("probes stayed within the budget")
  public void probesStayWithinBudget() {
    long elapsed = simulation.targets.nowMillis() - startMillis;
    long bound = 1 + elapsed / ScenarioManifest.PROBE_INTERVAL.toMillis();
    simulation
        .targets
        .all()
        .forEach(t -> assertTrue(t.probes <= bound, simulation.targets.probeLog + " probes"));
  }

  /**
   * Checks that a zone's targets got no new calls later than some seconds after the last change.
   */
  @Then("the targets of {string} got no new work later than {int} seconds after that")
  public void targetsGotNoNewWork(String zone, int seconds) {
    for (ScenarioTarget target : simulation.targets.inZone(zone)) {
      long after = target.lastWorkMillis - lastChangeMillis;
      assertTrue(after <= 1_000L * seconds, "work " + after + " ms after");
    }
  }

  /** Checks that calls with a home region, and their fingerprints, never left it. */
  @Then("no home-bound call left {string}")
  public void homeCallsStayInRegion(String region) {
    for (ScenarioCall call : simulation.calls) {
      if (call.path.equals("/home")) {
        for (Place place : simulation.targets.placesOf(call.request)) {
          assertEquals(place.region().value(), region, call.toString());
        }
      }
    }
    simulation.vms.values().forEach(vm -> assertTrue(vm.regionsOutsideHome.isEmpty()));
    Digest fingerprint = ScenarioSimulation.fingerprint("/home", "poison");
    Set<String> regions = simulation.network.regionsBySuspect.getOrDefault(fingerprint, Set.of());
    assertEquals(regions, Set.of(region), "regions that received the fingerprint");
  }

  /** Checks that all VMs have the same configuration version and that versions never decreased. */
  @Then("the same configuration is in force on every VM")
  public void sameConfigurationOnAllVms() {
    List<Long> newest =
        simulation.vms.values().stream()
            .filter(vm -> !vm.wasKilled())
            .map(vm -> vm.core.config().current().version())
            .distinct()
            .toList();
    assertEquals(newest.size(), 1, "versions " + newest);
    versionsNeverDecrease();
  }

  /** Checks that the configuration version of a VM never decreased. */
  @Then("no configuration went back")
  public void versionsNeverDecrease() {
    for (ScenarioVm vm : simulation.vms.values()) {
      for (int i = 1; i < vm.versions.size(); i++) {
        assertTrue(vm.versions.get(i) >= vm.versions.get(i - 1), "" + vm.versions);
      }
    }
  }

  /** Checks that one of two concurrent publish operations was accepted and the other refused. */
  @Then("one operator won and the other heard it")
  public void onePublishAccepted() {
    long won = publishResults.stream().filter(PublishResult.Accepted.class::isInstance).count();
    long refused = publishResults.stream().filter(PublishResult.Refused.class::isInstance).count();
    assertEquals(List.of(won, refused), List.of(1L, 1L), "" + publishResults);
  }

  /** Checks that the crashing request crashed few targets. */
  @Then("at most {int} targets crashed")
  public void targetsCrashed(int maximum) {
    int crashes = simulation.targets.all().stream().mapToInt(target -> target.crashes).sum();
    assertTrue(crashes <= maximum, crashes + " crashes");
  }

  private static String region(ScenarioVm vm) {
    return vm.entry.place().region().value();
  }
}
