Feature: What must always hold

  Scenario: The load caused by measuring stays within its budget
    Given a deployment with seed 1
    When "/lookup" calls come at 200 per second for 3 seconds
    And every VM is replaced
    And 8 seconds pass
    And every VM is replaced
    And "/lookup" calls come at 20 per second for 3 seconds
    Then probes stayed within the budget
    And every request got an answer

  Scenario: A freshly started target receives no more than it can bear
    Given a deployment with seed 2
    When "/lookup" calls come at 400 per second for 3 seconds
    And the targets of "gb-1" become cold
    And the targets of "dd-1" become cold
    And "/lookup" calls come at 400 per second for 4 seconds
    Then no cold target had more than it bears
    And every request got an answer

  Scenario: An availability zone that operators have taken out receives no new work
    Given a deployment with seed 3
    When "/lookup" calls come at 300 per second for 2 seconds
    And operators take zone "gb-1" out
    And "/lookup" calls come at 300 per second for 6 seconds
    Then the targets of "gb-1" got no new work later than 3 seconds after that
    And at least 99 percent of the requests were answered
    And every not-run is true

  Scenario: A request with home regions is served nowhere outside them
    Given a deployment with seed 4
    When "/home" calls come at 100 per second for 2 seconds
    And the targets of "lo-1" become down
    And "/home" calls come at 300 per second for 2 seconds
    And the targets of "lo-2" become slow
    And "/home" calls come at 300 per second for 2 seconds
    And a "/home" request that crashes targets is sent 12 times
    Then no home-bound call left "lockyer"
    And every not-run is true

  Scenario: A caller receives the answer to its own request
    Given a deployment with seed 5
    When the targets of "gb-2" become slow
    And "/lookup" calls come at 300 per second for 4 seconds
    Then every request got an answer

  Scenario: A refusal that says not run is true
    Given a deployment with seed 6
    When "/lookup" calls come at 2500 per second for 2 seconds
    And the targets of "dd-2" become down
    And "/lookup" calls come at 2500 per second for 2 seconds
    Then every not-run is true
    And every request got an answer

  Scenario: A signing runs at most once, and once is enough
    Given a deployment with seed 7
    When 30 signings are each sent 4 times through any VM
    Then no signing ran twice
    And 30 signings ran
    And every not-run is true

  Scenario: A target that is leaving receives no new work
    Given a deployment with seed 8
    When "/lookup" calls come at 300 per second for 2 seconds
    And the targets of "lo-2" become draining
    And "/lookup" calls come at 300 per second for 5 seconds
    Then the targets of "lo-2" got no new work later than 3 seconds after that
    And at least 99 percent of the requests were answered

  Scenario: A VM that is taken out cuts off no request
    Given a deployment with seed 9
    When "/lookup" calls come at 300 per second for 2 seconds
    And operators take vm "vm-gb-1" out
    And "/lookup" calls come at 300 per second for 3 seconds
    Then every request got an answer
    And at least 99 percent of the requests were answered

  Scenario: An accepted configuration is in force everywhere and never reverts
    Given a deployment with seed 10
    When two operators publish on the same base
    And 6 seconds pass
    Then one operator won and the other heard it
    And the same configuration is in force on every VM
