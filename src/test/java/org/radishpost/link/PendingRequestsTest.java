package org.radishpost.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reactor.core.Disposable;

/** Tests that a late response is never taken for the response to a later request. */
public class PendingRequestsTest {
  private static final int MAX_PENDING = 2;

  private final LinkMessage early = new LinkMessage.Heartbeat(1);
  private final LinkMessage late = new LinkMessage.Heartbeat(2);

  @Test
  public void responsesToWithdrawnAndAnsweredRequestsAreDropped() {
    PendingRequests requests = new PendingRequests(MAX_PENDING);
    List<Long> ids = new ArrayList<>();
    Disposable withdrawn = requests.send(ids::add).subscribe();
    requests.send(ids::add).subscribe();
    withdrawn.dispose();
    requests.complete(ids.get(1), early);
    List<LinkMessage> responses = new ArrayList<>();
    requests.send(ids::add).subscribe(responses::add);
    requests.complete(ids.get(0), early);
    requests.complete(ids.get(1), early);
    assertEquals(responses, List.of());
    requests.complete(ids.get(2), late);
    assertEquals(responses, List.of(late));
    assertTrue(requests.isEmpty());
  }
}
