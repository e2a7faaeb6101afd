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

/** The words of the scenarios. */
public class ScenarioSteps {
  private ScenarioSimulation simulation;
  private long seed;
  private long lastChangeMillis;
  private long startMillis;
  private String lastKey;
  private final List<PublishResult> publishResults = new ArrayList<>();

  /** Prints the seed and the time line of a scenario that failed. */
  @After
  public void printFailedScenario(Scenario scenario) {
    if (scenario.isFailed() && simulation != null) {
      scenario.log("seed " + seed + "\n" + simulation.timeLine());
      System.out.println("seed " + seed + "\n" + simulation.timeLine());
    }
  }

  /** Starts the deployment with a seed. */
  @Given("a deployment with seed {long}")
  public void startDeployment(long newSeed) {
    seed = newSeed;
    simulation = new ScenarioSimulation(newSeed);
    startMillis = simulation.targets.nowMillis();
  }

  /** Lets calls come at a steady rate. */
  @When("{string} calls come at {int} per second for {int} seconds")
  public void sendCalls(String path, int perSecond, int seconds) {
    simulation.sendCalls(path, perSecond, Duration.ofSeconds(seconds));
  }

  /** Lets time pass without calls. */
  @When("{int} seconds pass")
  public void advance(int seconds) {
    simulation.advance(Duration.ofSeconds(seconds));
  }

  /** Sends a signing with a new key. */
  @When("a signing is sent through {string}")
  public void sendNewSigning(String vm) {
    lastKey = simulation.newKey();
    resendSigning(vm);
  }

  /** Sends the last signing again. */
  @When("the same signing is sent through {string}")
  public void resendSigning(String vm) {
    simulation.send(simulation.vms.get(vm), "/sign", Map.of(HeaderNames.IDEMPOTENCY_KEY, lastKey));
    simulation.advance(Duration.ofMillis(5));
  }

  /** Sends signings, each through several VMs within a short time. */
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

  /** Sends a request that crashes targets. */
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

  /** Takes a zone, a region or a VM out or in. */
  @When("operators take {word} {string} {word}")
  public void setService(String kind, String name, String direction) {
    lastChangeMillis = simulation.targets.nowMillis();
    simulation.setService(Scope.Kind.valueOf(kind.toUpperCase()), name, direction.equals("out"));
  }

  /** Publishes the manifest twice at once on the same base. */
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

  /** Puts a fault on the targets of a zone, or takes it away. */
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

  /** Puts a fault on the log. */
  @When("the log {word} {word}")
  public void setLogFault(String verb, String fault) {
    simulation.record("log " + verb + " " + fault);
    boolean on = verb.equals("becomes");
    simulation.log.faults(
        switch (fault) {
          case "down" -> new LogFaults(on, Duration.ZERO, 0, 0);
          case "slow" -> new LogFaults(false, Duration.ofMillis(on ? 300 : 0), 0, 0);
          case "forgetful" -> new LogFaults(false, Duration.ZERO, on ? 5 : 0, on ? 5 : 0);
          default -> throw new IllegalArgumentException(fault);
        });
  }

  /** Pauses, resumes, kills or replaces a VM. */
  @When("VM {string} is {word}")
  public void changeVm(String name, String what) {
    simulation.record(name + " " + what);
    ScenarioVm vm = simulation.vms.get(name);
    switch (what) {
      case "paused" -> vm.pause(simulation.net);
      case "resumed" -> vm.resume(simulation.net);
      case "killed" -> vm.kill(simulation.net);
      case "replaced" -> simulation.replace(name);
      default -> throw new IllegalArgumentException(what);
    }
  }

  /** Replaces every VM, one after the other. */
  @When("every VM is replaced")
  public void replaceAllVms() {
    for (String name : List.copyOf(simulation.vms.keySet())) {
      simulation.replace(name);
      simulation.advance(Duration.ofMillis(300));
    }
  }

  /** Cuts the links between two regions, or joins them. */
  @When("regions {string} and {string} are {word}")
  public void setRegionLinks(String one, String two, String what) {
    simulation.record(one + " " + what + " " + two);
    for (ScenarioVm left : simulation.vms.values()) {
      for (ScenarioVm right : simulation.vms.values()) {
        if (region(left).equals(one) && region(right).equals(two)) {
          simulation.net.setCut(left.entry.id(), right.entry.id(), what.equals("parted"));
        }
      }
    }
  }

  /** Cuts one VM from all others, or joins it. */
  @When("VM {string} loses its links")
  public void cutAllLinks(String name) {
    VmId id = simulation.vms.get(name).entry.id();
    simulation.vms.values().stream()
        .map(vm -> vm.entry.id())
        .filter(other -> !other.equals(id))
        .forEach(other -> simulation.net.setCut(id, other, true));
  }

  /** Every request has one whole answer by its deadline. */
  @Then("every request got an answer")
  public void everyRequestIsAnswered() {
    simulation.advance(ScenarioSimulation.DEADLINE.plusMillis(200));
    List<ScenarioCall> open =
        simulation.calls.stream()
            .filter(call -> call.reply.isEmpty() && !call.vm.wasKilled() && !call.vm.paused())
            .toList();
    assertEquals(open, List.of());
    assertTrue(!simulation.calls.isEmpty(), "no calls were sent");
  }

  /** No request that was refused as not run was run. */
  @Then("every not-run is true")
  public void notRunRequestsNeverRan() {
    for (ScenarioCall call : simulation.calls) {
      if (call.isNotRun()) {
        assertEquals(simulation.targets.runsOf(call.request), 0, call.toString());
      }
    }
  }

  /** No key ran twice. */
  @Then("no signing ran twice")
  public void noSigningRanTwice() {
    simulation.targets.all().stream()
        .flatMap(target -> target.runs.keySet().stream())
        .forEach(each -> assertEquals(simulation.targets.runsOfKey(each), 1, each));
  }

  /** Each signing that was sent has run. */
  @Then("{int} signings ran")
  public void signingsRan(int count) {
    long keys =
        simulation.targets.all().stream()
            .flatMap(target -> target.runs.keySet().stream())
            .distinct()
            .count();
    assertEquals(keys, count);
  }

  /** A share of all requests since the start was answered. */
  @Then("at least {int} percent of the requests were answered")
  public void answeredShareOfAll(int percent) {
    assertAnsweredShare(percent, startMillis, Long.MAX_VALUE);
  }

  /** A share of the requests of the last seconds was answered. */
  @Then("at least {int} percent of the requests of the last {int} seconds were answered")
  public void answeredShareOfLast(int percent, int seconds) {
    long now = simulation.targets.nowMillis();
    assertAnsweredShare(
        percent, now - 1_000L * seconds, now - ScenarioSimulation.DEADLINE.toMillis());
  }

  private void assertAnsweredShare(int percent, long from, long to) {
    List<ScenarioCall> sent =
        simulation.calls.stream().filter(c -> c.sentMillis >= from && c.sentMillis < to).toList();
    long answered = sent.stream().filter(ScenarioCall::isSuccessful).count();
    assertTrue(!sent.isEmpty(), "no calls");
    assertTrue(
        100 * answered >= (long) percent * sent.size(),
        answered
            + " of "
            + sent.size()
            + " answered, not: "
            + sent.stream().filter(c -> !c.isSuccessful()).toList());
  }

  /** Cold targets were never given more than they bear. */
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

  /** Probes stayed within the budget. */
  @Then("probes stayed within the budget")
  public void probesStayWithinBudget() {
    long elapsed = simulation.targets.nowMillis() - startMillis;
    long bound = 1 + elapsed / ScenarioManifest.PROBE_INTERVAL.toMillis();
    simulation
        .targets
        .all()
        .forEach(t -> assertTrue(t.probes <= bound, simulation.targets.probeLog + " probes"));
  }

  /** A zone's targets got no new work some time after the last change. */
  @Then("the targets of {string} got no new work later than {int} seconds after that")
  public void targetsGotNoNewWork(String zone, int seconds) {
    for (ScenarioTarget target : simulation.targets.inZone(zone)) {
      long after = target.lastWorkMillis - lastChangeMillis;
      assertTrue(after <= 1_000L * seconds, "work " + after + " ms after");
    }
  }

  /** Calls with a home region were never outside it. */
  @Then("no home-bound call left {string}")
  public void homeCallsStayInRegion(String region) {
    for (ScenarioCall call : simulation.calls) {
      if (call.path.equals("/home")) {
        for (Place place : simulation.targets.placesOf(call.request)) {
          assertEquals(place.region().value(), region, call.toString());
        }
      }
    }
    simulation.vms.values().forEach(vm -> assertTrue(vm.homeViolations.isEmpty()));
    Digest fingerprint = ScenarioSimulation.fingerprint("/home", "poison");
    Set<String> heard = simulation.net.regionsBySuspect.getOrDefault(fingerprint, Set.of());
    assertEquals(heard, Set.of(region), "regions that heard of the fingerprint");
  }

  /** Every VM has the newest configuration, and none ever went back. */
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

  /** No VM's configuration went back. */
  @Then("no configuration went back")
  public void versionsNeverDecrease() {
    for (ScenarioVm vm : simulation.vms.values()) {
      for (int i = 1; i < vm.versions.size(); i++) {
        assertTrue(vm.versions.get(i) >= vm.versions.get(i - 1), "" + vm.versions);
      }
    }
  }

  /** Of two racing operators one won and the other heard it. */
  @Then("one operator won and the other heard it")
  public void onePublishAccepted() {
    long won = publishResults.stream().filter(PublishResult.Accepted.class::isInstance).count();
    long refused = publishResults.stream().filter(PublishResult.Refused.class::isInstance).count();
    assertEquals(List.of(won, refused), List.of(1L, 1L), "" + publishResults);
  }

  /** The crashing request crashed few targets. */
  @Then("at most {int} targets crashed")
  public void targetsCrashed(int maximum) {
    int crashes = simulation.targets.all().stream().mapToInt(target -> target.crashes).sum();
    assertTrue(crashes <= maximum, crashes + " crashes");
  }

  private static String region(ScenarioVm vm) {
    return vm.entry.place().region().value();
  }
}
