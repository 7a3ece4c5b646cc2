Feature: Invalid input is rejected with a clear error and loses no data

  Scenario: Any bytes from a peer decode to a message or a clear error
    When any bytes are decoded as a peer message
    Then the result is a message or an error of kind bad_request

  Scenario: Every kind of message survives encoding and decoding
    When messages of every kind are encoded and decoded
    Then each is equal to the original

  Scenario: Only a known secret opens a message, also during secret rotation
    When one message is sealed with an old secret and one with an unknown secret
    Then the first is opened and the second is rejected

  Scenario: A table survives a CSV round trip
    When any valid rows are written as CSV and read again
    Then the rows are the same

  Scenario: Any text as a table is accepted or rejected with a location
    When any text is read as a table
    Then the result is rows or an error with a location

  Scenario Outline: The error for an invalid table names the location
    When the table "<text>" is read
    Then the error names "<place>"

    Examples:
      | text                                                      | place                     |
      | kind,name,limit;budget,b,many                             | line 2, column limit      |
      | kind,name,limit;budget,b,-5                               | line 2, column limit      |
      | kind,name,limit;budget,=1+1,5                             | line 2, column name       |
      | kind,name,limit;dragon,b,5                                | line 2, column kind       |
      | kind,name,budget;client_account,a,                        | line 2, column budget     |
      | kind,name,colour;budget,b,5                               | line 1                    |
      | kind,name,protocol;service,s,carrier-pigeon               | line 2, column protocol   |
      | kind,name,key_hashes,budget;client_account,a,secret,b     | line 2, column key_hashes |

  Scenario Outline: The error for invalid settings names file, section and key
    When a router's settings have "<line>" in "<section>"
    Then loading fails with the location "<place>"

    Examples:
      | section  | line            | place                |
      | instance | listen = nobody | [instance] listen    |
      | instance | colour = red    | [instance] colour    |
      | fleet    | budget_shards=0 | [fleet] budget_shards |
      | instance | region =        | [instance] region    |

  Scenario: The pages of settings, errors and capacity match the code
    Then every committed page is the one that the code generates

  Scenario Outline: A command whose extra is not installed names the extra
    When "aspengate <command>" is run without "<library>" installed
    Then it exits with 2 and names the extra "<extra>"

    Examples:
      | command | library | extra  |
      | verify  | z3      | verify |

  Scenario: The first settings file of the README is accepted
    When the settings file that the README shows is checked
    Then it is accepted
