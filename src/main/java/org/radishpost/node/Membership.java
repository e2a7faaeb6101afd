package org.radishpost.node;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.radishpost.config.Configuration;
import org.radishpost.errors.RadishpostException;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.PeerEvent;
import org.radishpost.membership.MemberTable;
import org.radishpost.membership.PeerPlan;
import org.radishpost.store.VmEntry;
import org.radishpost.store.VmList;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Updates the member table from the platform's list of VMs, the links and the configuration.
 *
 * <p>Thread-safe: updates are serialized. The change listener runs after each update from the list
 * or the configuration, and when a VM leaves.
 */
final class Membership {
  private static final Duration LIST_READ_INTERVAL = Duration.ofSeconds(1);

  private final MemberTable table;
  private final VmList vmList;
  private final Consumer<Set<VmEntry>> maintainLinks;
  private final Scheduler clock;
  private final Runnable changeListener;

  Membership(
      MemberTable table,
      VmList vmList,
      Consumer<Set<VmEntry>> maintainLinks,
      Scheduler clock,
      Runnable changeListener) {
    this.table = table;
    this.vmList = vmList;
    this.maintainLinks = maintainLinks;
    this.clock = clock;
    this.changeListener = changeListener;
  }

  /** Starts reading the list periodically, until the returned handle is disposed. */
  Disposable start() {
    return Flux.interval(Duration.ZERO, LIST_READ_INTERVAL, clock)
        .onBackpressureDrop()
        .concatMap(
            tick ->
                vmList
                    .read()
                    .onErrorResume(RadishpostException.class, error -> Mono.empty())
                    .doOnNext(this::onListRead),
            1)
        .subscribe();
  }

  /** Updates the table from a link event. */
  synchronized void onPeerEvent(PeerEvent event) {
    switch (event) {
      case PeerEvent.Up up -> table.linkUp(up.entry());
      case PeerEvent.Down down -> table.linkDown(down.peer());
      case PeerEvent.Released released -> table.linkReleased(released.peer());
      case PeerEvent.MessageReceived received -> onPeerMessage(received);
    }
  }

  /** Updates the table from the active configuration. */
  synchronized void onConfiguration(Configuration configuration) {
    table.updateConfiguration(configuration);
    notifyChanged();
  }

  /** Marks this VM as leaving, so that it no longer owns any pool or shard. */
  synchronized void markSelfLeaving() {
    table.shutdownAnnounced(table.self().id());
    notifyChanged();
  }

  private void onPeerMessage(PeerEvent.MessageReceived received) {
    switch (received.message()) {
      case LinkMessage.ShutdownNotice farewell -> {
        table.shutdownAnnounced(received.peer());
        notifyChanged();
      }
      case LinkMessage.Heartbeat heartbeat ->
          table.configVersionReported(received.peer(), heartbeat.configVersion());
      default -> {}
    }
  }

  private synchronized void onListRead(List<VmEntry> entries) {
    table.updateList(entries);
    notifyChanged();
  }

  private void notifyChanged() {
    maintainLinks.accept(PeerPlan.DEFAULT.peers(table.self(), table.all()));
    changeListener.run();
  }
}
