package org.radishpost.node;

import static org.testng.Assert.assertSame;

import java.util.Optional;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.http.CallResult;
import org.testng.annotations.Test;

/** Tests how the results of an attempt and its hedge are combined. */
public class CallRouterTest {
  @Test
  public void lostHedgeIsNotHiddenByAttemptThatDidNotRun() {
    CallResult lost = ScenarioVm.lostResult();
    CallResult shed = new CallResult.Shed(Optional.empty());
    CallResult unreachable =
        new CallResult.Unreachable(new NotConnectedException("The VM is not running: start it."));
    assertSame(CallRouter.combine(shed, lost), lost);
    assertSame(CallRouter.combine(unreachable, lost), lost);
    assertSame(CallRouter.combine(lost, shed), lost);
  }
}
