package org.radishpost.node;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.radishpost.admin.AdminBackend;
import org.radishpost.admin.MemberStatus;
import org.radishpost.admin.NodeStatus;
import org.radishpost.admin.PoolStatus;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.Configuration;
import org.radishpost.config.PublishResult;
import org.radishpost.events.Event;
import org.radishpost.events.Timeline;
import org.radishpost.lib.PoolId;
import org.radishpost.link.Links;
import org.radishpost.membership.Member;
import org.radishpost.pool.PoolView;
import org.radishpost.pool.TargetStatus;
import reactor.core.publisher.Mono;

/** Exposes the state of this VM to the administration API; thread-safe. */
final class NodeAdmin implements AdminBackend {
  private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(8);

  private final VmCore core;
  private final Links links;
  private final MetricRegistry metrics;
  private final Timeline timeline;

  NodeAdmin(VmCore core, Links links, MetricRegistry metrics, Timeline timeline) {
    this.core = core;
    this.links = links;
    this.metrics = metrics;
    this.timeline = timeline;
  }

  @Override
  public NodeStatus status() {
    return new NodeStatus(
        core.members().self().id(),
        core.members().self().place(),
        core.readiness().notReadyReason(),
        core.config().freshness(),
        core.members().all().stream().map(this::member).toList(),
        pools(),
        core.suspects().size(),
        core.claims().keyCount());
  }

  private MemberStatus member(Member member) {
    boolean self = member.entry().id().equals(core.members().self().id());
    boolean linked = self || links.session(member.entry().id()).isPresent();
    return new MemberStatus(member, linked, core.members().configVersionOf(member.entry().id()));
  }

  private List<PoolStatus> pools() {
    Map<PoolId, List<TargetStatus>> targets = core.ownedPools().targetStatuses();
    return core.ownedPools().views().stream()
        .sorted(Comparator.comparing((PoolView view) -> view.pool().toString()))
        .map(view -> new PoolStatus(view, targets.getOrDefault(view.pool(), List.of())))
        .toList();
  }

  @Override
  public Configuration configuration() {
    return core.config().current();
  }

  @Override
  public Mono<PublishResult> change(String operationId, ConfigChange change) {
    return core.config().publish(operationId, change, CHANGE_TIMEOUT);
  }

  @Override
  public MetricRegistry metrics() {
    return metrics;
  }

  @Override
  public List<Event> eventsAfter(long afterSequence) {
    return timeline.after(afterSequence);
  }
}
