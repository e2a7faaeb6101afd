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
  private ScenarioWorld world;
  private long seed;
  private long markMillis;
  private long startMillis;
  private String key;
  private final List<PublishResult> published = new ArrayList<>();

  /** Prints the seed and the time line of a scenario that failed. */
  @After
  public void report(Scenario scenario) {
    if (scenario.isFailed() && world != null) {
      scenario.log("seed " + seed + "\n" + world.timeLine());
      System.out.println("seed " + seed + "\n" + world.timeLine());
    }
  }

  /** Starts the deployment with a seed. */
  @Given("a deployment with seed {long}")
  public void deployment(long number) {
    seed = number;
    world = new ScenarioWorld(number);
    startMillis = world.targets.nowMillis();
  }

  /** Lets calls come at a steady rate. */
  @When("{string} calls come at {int} per second for {int} seconds")
  public void callsCome(String path, int perSecond, int seconds) {
    world.load(path, perSecond, Duration.ofSeconds(seconds));
  }

  /** Lets time pass without calls. */
  @When("{int} seconds pass")
  public void pass(int seconds) {
    world.advance(Duration.ofSeconds(seconds));
  }

  /** Sends a signing with a new key. */
  @When("a signing is sent through {string}")
  public void signing(String vm) {
    key = world.newKey();
    sign(vm);
  }

  /** Sends the last signing again. */
  @When("the same signing is sent through {string}")
  public void sign(String vm) {
    world.send(world.vms.get(vm), "/sign", Map.of(HeaderNames.IDEMPOTENCY_KEY, key));
    world.advance(Duration.ofMillis(5));
  }

  /** Sends signings, each through several VMs within a short time. */
  @When("{int} signings are each sent {int} times through any VM")
  public void signings(int count, int times) {
    for (int i = 0; i < count; i++) {
      String each = world.newKey();
      for (int j = 0; j < times; j++) {
        world
            .readyVm()
            .ifPresent(vm -> world.send(vm, "/sign", Map.of(HeaderNames.IDEMPOTENCY_KEY, each)));
        world.advance(Duration.ofMillis(world.random.nextInt(30)));
      }
    }
  }

  /** Sends a request that crashes targets. */
  @When("a {string} request that crashes targets is sent {int} times")
  public void poison(String path, int times) {
    world.targets.all().forEach(target -> target.crashMarker = "poison");
    for (int i = 0; i < times; i++) {
      world
          .readyVm()
          .ifPresent(vm -> world.send(vm, path, Map.of(ScenarioTargets.CRASH, "poison")));
      world.load("/lookup", 50, Duration.ofMillis(500));
    }
  }

  /** Takes a zone, a region or a VM out or in. */
  @When("operators take {word} {string} {word}")
  public void operate(String kind, String name, String direction) {
    markMillis = world.targets.nowMillis();
    world.service(Scope.Kind.valueOf(kind.toUpperCase()), name, direction.equals("out"));
  }

  /** Publishes the manifest twice at once on the same base. */
  @When("two operators publish on the same base")
  public void race() {
    long base = world.vms.values().iterator().next().core.config().current().version();
    ConfigChange change = new ConfigChange.Publish(ScenarioManifest.of(world.specs(), base));
    int i = 0;
    for (ScenarioVm vm : world.vms.values()) {
      if (i < 2) {
        vm.core
            .config()
            .publish("race-" + i, change, Duration.ofSeconds(20))
            .subscribe(published::add);
      }
      i++;
    }
    markMillis = world.targets.nowMillis();
    world.advance(Duration.ofSeconds(1));
  }

  /** Puts a fault on the targets of a zone, or takes it away. */
  @When("the targets of {string} {word} {word}")
  public void fault(String zone, String verb, String fault) {
    world.note(zone + " " + verb + " " + fault);
    boolean on = verb.equals("become");
    markMillis = world.targets.nowMillis();
    for (ScenarioTarget target : world.targets.in(zone)) {
      switch (fault) {
        case "slow" -> target.slowFactor = on ? 8 : 1;
        case "silent" -> target.silent = on;
        case "down" -> target.down = on;
        case "draining" -> target.draining = on;
        case "failing" -> target.failFast = on;
        case "cold" -> world.targets.restart(target);
        default -> throw new IllegalArgumentException(fault);
      }
    }
  }

  /** Puts a fault on the log. */
  @When("the log {word} {word}")
  public void logFault(String verb, String fault) {
    world.note("log " + verb + " " + fault);
    boolean on = verb.equals("becomes");
    world.log.faults(
        switch (fault) {
          case "down" -> new LogFaults(on, Duration.ZERO, 0, 0);
          case "slow" -> new LogFaults(false, Duration.ofMillis(on ? 300 : 0), 0, 0);
          case "forgetful" -> new LogFaults(false, Duration.ZERO, on ? 5 : 0, on ? 5 : 0);
          default -> throw new IllegalArgumentException(fault);
        });
  }

  /** Pauses, resumes, kills or replaces a VM. */
  @When("VM {string} is {word}")
  public void vm(String name, String what) {
    world.note(name + " " + what);
    ScenarioVm vm = world.vms.get(name);
    switch (what) {
      case "paused" -> vm.pause(world.net);
      case "resumed" -> vm.resume(world.net);
      case "killed" -> vm.kill(world.net);
      case "replaced" -> world.replace(name);
      default -> throw new IllegalArgumentException(what);
    }
  }

  /** Replaces every VM, one after the other. */
  @When("every VM is replaced")
  public void replaceAll() {
    for (String name : List.copyOf(world.vms.keySet())) {
      world.replace(name);
      world.advance(Duration.ofMillis(300));
    }
  }

  /** Cuts the links between two regions, or joins them. */
  @When("regions {string} and {string} are {word}")
  public void part(String one, String two, String what) {
    world.note(one + " " + what + " " + two);
    for (ScenarioVm left : world.vms.values()) {
      for (ScenarioVm right : world.vms.values()) {
        if (region(left).equals(one) && region(right).equals(two)) {
          world.net.cut(left.entry.id(), right.entry.id(), what.equals("parted"));
        }
      }
    }
  }

  /** Cuts one VM from all others, or joins it. */
  @When("VM {string} loses its links")
  public void lose(String name) {
    VmId id = world.vms.get(name).entry.id();
    world.vms.values().stream()
        .map(vm -> vm.entry.id())
        .filter(other -> !other.equals(id))
        .forEach(other -> world.net.cut(id, other, true));
  }

  /** Every request has one whole answer by its deadline. */
  @Then("every request got an answer")
  public void answers() {
    world.advance(ScenarioWorld.DEADLINE.plusMillis(200));
    List<ScenarioCall> open =
        world.calls.stream()
            .filter(call -> call.reply.isEmpty() && !call.vm.ended() && !call.vm.paused())
            .toList();
    assertEquals(open, List.of());
    assertTrue(!world.calls.isEmpty(), "no calls were sent");
  }

  /** No request that was refused as not run was run. */
  @Then("every not-run is true")
  public void notRun() {
    for (ScenarioCall call : world.calls) {
      if (call.saysNotRun()) {
        assertEquals(world.targets.runsOf(call.request), 0, call.toString());
      }
    }
  }

  /** No key ran twice. */
  @Then("no signing ran twice")
  public void onceEach() {
    world.targets.all().stream()
        .flatMap(target -> target.runs.keySet().stream())
        .forEach(each -> assertEquals(world.targets.runsOfKey(each), 1, each));
  }

  /** Each signing that was sent has run. */
  @Then("{int} signings ran")
  public void ran(int count) {
    long keys =
        world.targets.all().stream()
            .flatMap(target -> target.runs.keySet().stream())
            .distinct()
            .count();
    assertEquals(keys, count);
  }

  /** A share of all requests since the start was answered. */
  @Then("at least {int} percent of the requests were answered")
  public void shareOfAll(int percent) {
    share(percent, startMillis, Long.MAX_VALUE);
  }

  /** A share of the requests of the last seconds was answered. */
  @Then("at least {int} percent of the requests of the last {int} seconds were answered")
  public void shareOfLast(int percent, int seconds) {
    long now = world.targets.nowMillis();
    share(percent, now - 1_000L * seconds, now - ScenarioWorld.DEADLINE.toMillis());
  }

  private void share(int percent, long from, long to) {
    List<ScenarioCall> sent =
        world.calls.stream().filter(c -> c.sentMillis >= from && c.sentMillis < to).toList();
    long answered = sent.stream().filter(ScenarioCall::answered).count();
    assertTrue(!sent.isEmpty(), "no calls");
    assertTrue(
        100 * answered >= (long) percent * sent.size(),
        answered
            + " of "
            + sent.size()
            + " answered, not: "
            + sent.stream().filter(c -> !c.answered()).toList());
  }

  /** Cold targets were never given more than they bear. */
  @Then("no cold target had more than it bears")
  public void cold() {
    world
        .targets
        .all()
        .forEach(
            t -> assertTrue(t.mostWhileCold <= ScenarioTarget.COLD_CALLS, "" + t.mostWhileCold));
  }

  /** Probes stayed within the budget. */
  @Then("probes stayed within the budget")
  public void probes() {
    long elapsed = world.targets.nowMillis() - startMillis;
    long bound = 1 + elapsed / ScenarioManifest.PROBE_INTERVAL.toMillis();
    world
        .targets
        .all()
        .forEach(t -> assertTrue(t.probes <= bound, world.targets.probes + " probes"));
  }

  /** A zone's targets got no new work some time after the last change. */
  @Then("the targets of {string} got no new work later than {int} seconds after that")
  public void noNewWork(String zone, int seconds) {
    for (ScenarioTarget target : world.targets.in(zone)) {
      long after = target.lastWorkMillis - markMillis;
      assertTrue(after <= 1_000L * seconds, "work " + after + " ms after");
    }
  }

  /** Calls with a home region were never outside it. */
  @Then("no home-bound call left {string}")
  public void home(String region) {
    for (ScenarioCall call : world.calls) {
      if (call.path.equals("/home")) {
        for (Place place : world.targets.placesOf(call.request)) {
          assertEquals(place.region().value(), region, call.toString());
        }
      }
    }
    world.vms.values().forEach(vm -> assertTrue(vm.homeViolations.isEmpty()));
    Digest fingerprint = ScenarioWorld.fingerprint("/home", "poison");
    Set<String> heard = world.net.suspectsHeard.getOrDefault(fingerprint, Set.of());
    assertEquals(heard, Set.of(region), "regions that heard of the fingerprint");
  }

  /** Every VM has the newest configuration, and none ever went back. */
  @Then("the same configuration is in force on every VM")
  public void inForce() {
    List<Long> newest =
        world.vms.values().stream()
            .filter(vm -> !vm.ended())
            .map(vm -> vm.core.config().current().version())
            .distinct()
            .toList();
    assertEquals(newest.size(), 1, "versions " + newest);
    neverBack();
  }

  /** No VM's configuration went back. */
  @Then("no configuration went back")
  public void neverBack() {
    for (ScenarioVm vm : world.vms.values()) {
      for (int i = 1; i < vm.versions.size(); i++) {
        assertTrue(vm.versions.get(i) >= vm.versions.get(i - 1), "" + vm.versions);
      }
    }
  }

  /** Of two racing operators one won and the other heard it. */
  @Then("one operator won and the other heard it")
  public void oneWon() {
    long won = published.stream().filter(PublishResult.Accepted.class::isInstance).count();
    long refused = published.stream().filter(PublishResult.Refused.class::isInstance).count();
    assertEquals(List.of(won, refused), List.of(1L, 1L), "" + published);
  }

  /** The crashing request crashed few targets. */
  @Then("at most {int} targets crashed")
  public void crashes(int most) {
    int crashes = world.targets.all().stream().mapToInt(target -> target.crashes).sum();
    assertTrue(crashes <= most, crashes + " crashes");
  }

  private static String region(ScenarioVm vm) {
    return vm.entry.place().region().value();
  }
}
