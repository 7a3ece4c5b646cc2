Feature: Requests, tokens and messages stay in their region, and leave it only where that helps

  Scenario Outline: The regions of the failure domains are read from the settings
    When a gateway in "<domain>" has the region "<own>" and the regions "<table>"
    Then its region is "<region>", and "hall-2" is at the distance "<distance>"

    Examples:
      | domain | own  | table                                      | region | distance     |
      | hall-1 |      |                                            |        | own_region   |
      | hall-1 | east |                                            | east   | own_region   |
      | hall-1 |      | hall-1:east, hall-2:east, hall-3:west      | east   | own_region   |
      | hall-1 |      | hall-1:east, hall-2:west                   | east   | other_region |
      | hall-1 | east | hall-2:west                                | east   | other_region |
      | hall-1 |      | hall-1:east, hall-3:west                   | east   | other_region |
      | hall-1 |      | hall-1:east, hall-3:east                   | east   | own_region   |
      | hall-2 | east | hall-1:west                                | east   | own_domain   |

  Scenario Outline: Regions that contradict each other are rejected with the location of the error
    When a gateway in "hall-1" has the region "<own>" and the regions "<table>"
    Then its settings are rejected with an error that names "<place>"

    Examples:
      | own  | table                    | place             |
      | east | hall-1:west              | [instance] region |
      |      | hall-2:west              | [instance] region |
      |      | hall-1:east, hall-1:west | [peers] regions   |
      |      | hall-1                   | [peers] regions   |

  Scenario Outline: Requests run only in the regions that their route and their account allow
    Given a gateway in region east, with a replica of each service in east and in west
    When the route allows "<route>" and the account "<account>", and 10 requests are sent
    Then each of them is served in "<region>"

    Examples:
      | route     | account   | region |
      | east      |           | east   |
      | west      |           | west   |
      |           | west      | west   |
      | east,west | west      | west   |
      | west      | west,moon | west   |

  Scenario Outline: A request that no replica in its regions can take is refused at once
    Given a gateway in region east, with a replica of each service in east and in west
    When the route allows "<route>" and the account "<account>", and the west replicas "<fault>"
    Then requests are refused within 0.3 s with region_unavailable and run nowhere
    And the log names the allowed regions "<logged>", and explain shows them

    Examples:
      | route | account | fault      | logged |
      | moon  |         | stay       | moon   |
      | east  | west    | stay       | none   |
      | west  |         | are gone   | west   |
      | west  |         | are resting | west  |
      |       | west    | are leaving | west  |

  Scenario Outline: A list that changes while a request is in progress binds its next attempt
    Given a gateway in region east, with a replica of each service in east and in west
    When the list of the "<holder>" changes from "<before>" to "<after>" while a "<kind>" runs in east
    Then it is not sent to west when its replica crashes

    Examples:
      | holder  | before | after | kind    |
      | route   |        | east  | request |
      | account |        | east  | request |
      | route   | east   |       | request |
      | route   |        | east  | stream  |
      | account | east   |       | stream  |

  Scenario: Without a list the same crash is followed by an attempt in the other region
    Given a gateway in region east, with a replica of each service in east and in west
    When the list of the "route" changes from "" to "" while a "request" runs in east
    Then it is sent to west when its replica crashes

  Scenario: Requests stay in their failure domain, then in their region, while callers gain nothing
    Given three replicas in east and three in west, 16 ms away, that respond in 20 ms
    When 100 requests a second are sent from east for 5 s
    Then at least 99 % of the last 2 s are served in the own failure domain

  Scenario: The distance of a region is learned from the time that connecting takes
    Given three replicas in east and three in west, 16 ms away, that respond in 20 ms
    When 20 connections to west take 16 ms, some with a lost packet
    Then another region costs from 20 to 40 ms more than the own failure domain
    And after connections that take 80 ms it costs more than 60 ms more, and after 60 s idle less

  Scenario Outline: A region in trouble is helped at once and gets its load back gradually
    Given three replicas in east and three in west, 16 ms away, that respond in 20 ms
    When 100 requests a second are sent from east, and the east replicas <fault> for 10 s
    Then at least 90 % of the requests go to west from <seconds> s after the begin
    And their share in east then grows over at least 3 s to at least 95 % within 30 s

    Examples:
      | fault           | seconds |
      | are unavailable | 0.0     |
      | fail            | 0.5     |
      | take 400 ms     | 2.0     |

  Scenario: A region that is overloaded is relieved of what it can't handle
    Given three replicas in east and three in west, 16 ms away, that respond in 20 ms
    When 100 requests a second are sent from east, and the east replicas handle 50 a second for 10 s
    Then the median request of its last 5 s takes 200 ms at most, and any one 600 ms

  Scenario: Short trouble and a few requests elsewhere do not delay the return
    Given three replicas in east and three in west, 16 ms away, that respond in 20 ms
    When 100 requests a second are sent from east, and the east replicas are unavailable for 0.03 s
    Then at least 95 % of the requests in the second after that are served in east

  Scenario: A gateway serves the requests of a region whose replicas crash from the other region
    Given a gateway in region east, with a replica of each service in east and in west
    When 20 requests are served, the east replicas crash, and 20 more are sent
    Then all are answered, those after the crash by west, and the metrics have west's round trip

  Scenario: Costs and shares stay valid when clocks jump
    When times to connect and choices are recorded at times that jump by up to an hour
    Then each cost is finite and each share is from 0 to 1
    And an hour after the last choice the whole load may be in its region

  Scenario: Requests with a short shared prompt segment meet at one replica in each region
    Given three replicas in east and three in west, 16 ms away, that respond in 20 ms
    When prompts with 50 shared segments of 1000 tokens are placed from east
    Then all are placed in east, and each segment meets at the replica that ranks first there

  # Ranked within each region, long segments were read again in each of them.
  Scenario: Requests with a long shared prompt segment meet at one replica of all regions
    Given three replicas in east and three in west, 16 ms away, that respond in 20 ms
    When prompts with 50 shared segments of 4000 tokens are placed from east
    Then each segment meets at the replica that ranks first in all regions

  Scenario: Placements stay in the region, except those for a replica of another region
    Given 12 routers in 4 failure domains, two each in east and in west
    When each router sends two requests to replicas of its region, and one to the other region
    Then each router gets the requests of its region, and those to its region's replicas

  Scenario: Loans, witnesses and copies of grants are in the region first
    Given 12 routers in 4 failure domains, two each in east and in west
    Then all routers borrow from the same leader, and lenders of their region come first
    And each grant has a copy in the region of its session and one in the other region
    And leaders prefer witnesses in the other region, and other routers those of their own
    And while no leader of the region reaches the store, a leader of the other region lends

  Scenario: Only leaders send every heartbeat to another region, and only to its leaders
    Given 12 routers in 4 failure domains, two each in east and in west
    When each router sends heartbeats for 9 s
    Then leaders send all of them to leaders, and all of them to their own region
    And other heartbeats to the other region are sent at least once a second and at most half as often
    And a router that changes its state or has not restored the store's history sends all of them

  Scenario Outline: Routers that depend on leaders of another region get each of their heartbeats
    Given 12 routers in 4 failure domains, two each in east and in west
    When each router sends heartbeats for 9 s, and <state> in west
    Then leaders of east send all of their heartbeats to west

    Examples:
      | state                        |
      | only one router leads        |
      | no leader reaches the store  |

  Scenario: A witness in the other region is given up when that region is cut off
    Given a leader with two routers in each region that never reply to ceilings
    When it asks for a ceiling again and again for 2 s
    Then it tries two routers of the other region, and then one of its own

  # The witness is chosen while a lock is held that requests with prepaid tokens wait for.
  Scenario: The choice of a witness does not list all routers for each of them
    Given a leader that counts how often it lists the other 759 routers
    When it asks for a ceiling
    Then it has listed them at most 3 times

  Scenario: Messages are counted by kind and distance where there are several regions
    Given gateways in hall-1 and hall-3 of east and in hall-2 of west
    Then the metrics of the first one count bytes of news for each distance
    And a gateway without regions counts no distances

  Scenario Outline: Budgets are never exceeded when regions are cut off from each other
    Given two regions of two routers that spend from one account
    When <fault> while both regions spend, and the fault ends
    Then no more than the limit is used, and both regions have spent during the fault

    Examples:
      | fault                                                                |
      | the regions are cut off from each other                              |
      | the regions are cut off from each other and east from the store      |
      | the regions are cut off from each other and both from the store      |
      | east is cut off from the store                                       |

  Scenario: A gateway whose region does not reach the store draws through the other region
    Given gateways in east and west and an account with 200000 prepaid tokens
    When the store rejects the first and it is sent more requests than it holds tokens for
    Then all of them were served

  Scenario: Gateways of two regions use an account up, and no more
    Given gateways in east and west and an account with 20000 prepaid tokens
    When requests of up to 1500 tokens are sent through both until they are refused
    Then 13 were served, and the refusals have status 402
    And the replicas never produced more tokens than were prepaid

  Scenario: No history of partitions, lost messages, restarts and clock jumps overspends
    Given two regions of two routers that spend from one account
    Then no history of 40 events overspends

  Scenario: A list that changes between the choice of a replica and the send binds the send
    Given a connection to a replica in west that opens slowly
    When the route's list changes to east while it opens
    Then the request is not sent there, and another replica may be chosen
